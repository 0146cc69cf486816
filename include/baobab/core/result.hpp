/// @file
/// Result type of functions that can fail.
#pragma once

#include "baobab/core/error.hpp"

#include <utility>
#include <variant>

namespace baobab {

/// Either a value or an Error.
template<class T>
using Result = std::variant<T, Error>;

/// Value type of a Result that carries no value.
using Done = std::monostate;

/// Returns true if the result holds a value.
template<class T>
bool
Succeeded(const Result<T>& aResult)
{
  return aResult.index() == 0;
}

/// Returns the value of a result that holds one.
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

/// Returns the error of a result that holds no value.
template<class T>
const Error&
Failure(const Result<T>& aResult)
{
  return *std::get_if<1>(&aResult);
}

/// Visitor for std::visit that is composed of lambdas.
template<class... Fs>
struct Overloaded : Fs...
{
  using Fs::operator()...;
};

template<class... Fs>
Overloaded(Fs...) -> Overloaded<Fs...>;

}
