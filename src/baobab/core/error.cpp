#include "baobab/core/error.hpp"

namespace baobab {

std::string_view
Name(ErrorKind aKind)
{
  switch (aKind) {
    case ErrorKind::UnknownKey:
      return "unknown-key";
    case ErrorKind::WrongType:
      return "wrong-type";
    case ErrorKind::OutOfRange:
      return "out-of-range";
    case ErrorKind::MissingKey:
      return "missing-key";
    case ErrorKind::Syntax:
      return "syntax";
    case ErrorKind::BadMessage:
      return "bad-message";
    case ErrorKind::Conflict:
      return "conflict";
    case ErrorKind::NotFound:
      return "not-found";
    case ErrorKind::StoreUnavailable:
      return "store-unavailable";
    case ErrorKind::OutcomeUnknown:
      return "outcome-unknown";
    case ErrorKind::ConnectFailed:
      return "connect-failed";
    case ErrorKind::ConnectionLost:
      return "connection-lost";
    case ErrorKind::TimedOut:
      return "timed-out";
    case ErrorKind::TooLarge:
      return "too-large";
    case ErrorKind::System:
      return "system";
  }
  return "system";
}

std::string
Describe(const Error& aError)
{
  if (aError.remedy.empty()) {
    return aError.message;
  }
  return aError.message + " (" + aError.remedy + ")";
}

}
