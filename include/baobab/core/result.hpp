/// @file
/// Results that are either a value or an Error.
#pragma once

#include "baobab/core/error.hpp"

#include <utility>
#include <variant>

namespace baobab {

/// A value, or the reason why there is none.
template<class T>
using Result = std::variant<T, Error>;

/// The value of an operation that returns nothing but may fail.
using Done = std::monostate;

/// True if the result holds a value.
template<class T>
bool
Succeeded(const Result<T>& aResult)
{
  return aResult.index() == 0;
}

/// The value of a result that succeeded.
template<class T>
T&
Value(Result<T>& aResult)
{
  return *std::get_if<0>(&aResult);
}

/// @copydoc Value
template<class T>
const T&
Value(const Result<T>& aResult)
{
  return *std::get_if<0>(&aResult);
}

/// The error of a result that failed.
template<class T>
const Error&
Failure(const Result<T>& aResult)
{
  return *std::get_if<1>(&aResult);
}

/// Builds a visitor from lambdas.
template<class... Fs>
struct Overloaded : Fs...
{
  using Fs::operator()...;
};

template<class... Fs>
Overloaded(Fs...) -> Overloaded<Fs...>;

}
