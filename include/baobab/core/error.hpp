/// @file
/// Typed errors whose messages name the remedy.
#pragma once

#include <string>
#include <string_view>

namespace baobab {

/// What went wrong, in the terms a caller of the function can act on.
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

/// Returns the stable name of a kind, as it appears in logs and JSON.
std::string_view Name(ErrorKind aKind);

/// An error with a place and a remedy.
struct Error
{
  ErrorKind kind;
  /// What happened and where, for example `quoting.toml:3:1: ...`.
  std::string message;
  /// What to do about it. Empty only for errors that the program handles.
  std::string remedy;
};

/// Returns message and remedy as one line.
std::string Describe(const Error& aError);

}
