/// @file
/// Typed errors with a message and a remedy.
#pragma once

#include <string>
#include <string_view>

namespace baobab {

/// Category of an error. Callers of a function can handle each kind in its own
/// way.
enum class ErrorKind
{
  UnknownKey,
  WrongType,
  OutOfRange,
  MissingKey,
  Syntax,
  BadMessage,
  Conflict,
  NotFound,
  StoreUnavailable,
  OutcomeUnknown,
  ConnectFailed,
  ConnectionLost,
  TimedOut,
  TooLarge,
  System,
};

/// Returns the name of a kind in logs and JSON. These names are stable.
std::string_view Name(ErrorKind aKind);

/// An error with its location and a remedy.
struct Error
{
  ErrorKind kind;
  /// What happened and where, for example `quoting.toml:3:1: ...`.
  std::string message;
  /// What the user can do about it. Empty for errors that the program handles
  /// itself.
  std::string remedy;
};

/// Returns the message and the remedy in one line.
std::string Describe(const Error& aError);

}
