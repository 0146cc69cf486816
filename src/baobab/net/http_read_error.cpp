#include "http_read_error.hpp"

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>

namespace baobab {

namespace beast = boost::beast;
namespace http = boost::beast::http;

HttpRequestError
RequestErrorOf(const boost::system::error_code& aError)
{
  if (aError == http::error::body_limit) {
    return HttpRequestError::BodyTooLarge;
  }
  if (aError == http::error::header_limit) {
    return HttpRequestError::HeaderTooLarge;
  }
  return HttpRequestError::Malformed;
}

bool
IsDisconnect(const boost::system::error_code& aError)
{
  return aError == http::error::end_of_stream ||
         aError == http::error::partial_message ||
         (aError.category() !=
            http::make_error_code(http::error::bad_method).category() &&
          aError != beast::error::timeout);
}

}
