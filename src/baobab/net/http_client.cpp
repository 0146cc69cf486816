#include "baobab/net/http_client.hpp"

#include "baobab/net/clock.hpp"
#include "http_convert.hpp"
#include "response_check.hpp"

#include <algorithm>
#include <boost/beast/core.hpp>
#include <charconv>

namespace baobab {
namespace {

namespace beast = boost::beast;

/// Bytes that are buffered at most. Only parts of a message that cannot be
/// parsed yet are kept: lines of the head, of chunks and of trailers.
constexpr std::size_t kMaxBufferBytes = 128U << 10U;

/// Size of a body from which on it is counted.
constexpr std::size_t kCountedBodyBytes = 16U << 10U;

/// Bytes that are read at once at most.
constexpr std::size_t kReadBytes = 64U << 10U;

/// Size of a body from which on its memory is not moved any more while it
/// grows.
constexpr std::size_t kLargeBodyBytes = 1U << 20U;

/// Responses that are discarded for one request at most, because they are
/// interim ones or belong to another request.
constexpr int kMaxDiscarded = 8;

/// Parses `Keep-Alive: timeout=SECONDS`.
Duration
KeepAliveTimeoutOf(const http::response<http::string_body>& aMessage)
{
  constexpr std::string_view kParameter = "timeout=";
  const auto field = aMessage[http::field::keep_alive];
  const std::string_view text(field.data(), field.size());
  const auto position = text.find(kParameter);
  if (position == std::string_view::npos) {
    return Duration::max();
  }
  std::int64_t seconds = 0;
  const auto [end, code] =
    std::from_chars(text.data() + position + kParameter.size(),
                    text.data() + text.size(),
                    seconds);
  return code == std::errc{} && seconds < INT32_MAX ? Duration(Seconds(seconds))
                                                    : Duration::max();
}

/// Returns true if the parser found a response malformed.
bool
IsMalformed(const beast::error_code& aError)
{
  return aError.category() ==
           make_error_code(http::error::bad_status).category() &&
         aError != http::error::end_of_stream &&
         aError != http::error::partial_message &&
         aError != http::error::body_limit;
}

class BeastClient : public HttpClient
{
public:
  BeastClient(Tcp::socket aSocket, std::string aHost)
    : stream(std::move(aSocket))
    , host(std::move(aHost))
  {
  }

  Result<Response> Exchange(const Request& aRequest,
                            const ExchangeOptions& aOptions) override
  {
    this->responseStarted = false;
    this->keepAlive = false;
    this->stream.expires_after(aOptions.timeout);
    this->deadline = Now() + aOptions.timeout;
    http::request<http::span_body<const char>> message;
    message.method_string(aRequest.method);
    message.target(aRequest.target);
    for (const HeaderField& field : aRequest.headers) {
      message.insert(field.name, field.value);
    }
    for (const HeaderField& field : aOptions.headers) {
      message.insert(field.name, field.value);
    }
    if (message.find(http::field::host) == message.end()) {
      message.set(http::field::host, this->host);
    }
    message.body() = { aRequest.body.data(), aRequest.body.size() };
    if (!aRequest.body.empty() || aRequest.method == "POST" ||
        aRequest.method == "PUT" || aRequest.method == "PATCH") {
      message.content_length(aRequest.body.size());
    }
    const IoResult written = Await([&](auto aHandler) {
      http::async_write(this->stream, message, aHandler);
    });
    if (!written) {
      return this->Fail(written.error);
    }
    bool extraResponse = false;
    for (int discarded = 0; discarded <= kMaxDiscarded; ++discarded) {
      auto response =
        this->ReadResponse(aRequest.method, aOptions.maxResponseBytes);
      if (!Succeeded(response)) {
        return response;
      }
      if (IsInterim(Value(response).status)) {
        continue;
      }
      if (!aOptions.matchesRequest ||
          aOptions.matchesRequest(Value(response))) {
        this->keepAlive = this->keepAlive && !extraResponse;
        this->stream.expires_never();
        return response;
      }
      extraResponse = true;
      if (!this->keepAlive) {
        break;
      }
    }
    return this->Fail(http::error::end_of_stream);
  }

  Duration KeepAliveTimeout() const override { return this->keepAliveTimeout; }

  bool Reusable() override
  {
    return this->keepAlive && this->buffer.size() == 0 &&
           !IsStale(this->stream.socket());
  }

  bool ResponseStarted() const override { return this->responseStarted; }

  void Close() override
  {
    this->keepAlive = false;
    this->stream.close();
  }

private:
  Result<Response> ReadResponse(std::string_view aMethod, std::size_t aMaxBytes)
  {
    http::response_parser<http::string_body> parser;
    parser.body_limit(aMaxBytes);
    parser.skip(aMethod == "HEAD");
    parser.on_chunk_header(CheckChunkExtension);
    IoResult read;
    HeldMemory held(MemoryPart::Answers);
    std::string& body = parser.get().body();
    bool headChecked = false;
    do {
      // The stream's own timeout only ends a read that has to wait for bytes.
      if (Now() >= this->deadline) {
        return this->Fail(beast::error::timeout);
      }
      const bool reserves = body.size() >= kLargeBodyBytes &&
                            !parser.content_length() &&
                            ProcessMemory().Bounds().Bounded();
      std::size_t needed = body.size();
      if (ProcessMemory().Bounds().reservedCounts) {
        needed = std::max(reserves ? aMaxBytes : 0, body.capacity());
      }
      if (needed >= kCountedBodyBytes &&
          !held.TryHold(needed + kReadBytes, needed < kReservedAnswerBytes)) {
        held.MarkRefused();
        return this->Fail(http::error::body_limit);
      }
      if (reserves) {
        // Memory that was not written to is not in use. Growing step by step
        // would hold the body twice for a moment.
        body.reserve(aMaxBytes);
      }
      read = Await([&](auto aHandler) {
        http::async_read_some(this->stream, this->buffer, parser, aHandler);
      });
      this->responseStarted = this->responseStarted || parser.got_some();
      if (!headChecked && parser.is_header_done()) {
        if (const auto part = FindMalformedPart(parser.get().base(), aMethod)) {
          return this->FailMalformed(*part);
        }
        headChecked = true;
      }
    } while (read && !parser.is_done());
    if (read.error && parser.is_done() == false) {
      return this->Fail(read.error);
    }
    this->keepAlive = parser.keep_alive();
    if (this->buffer.size() == 0) {
      // A pooled connection must not hold the memory of a large response.
      this->buffer.shrink_to_fit();
    }
    http::response<http::string_body> message = parser.release();
    this->keepAliveTimeout = KeepAliveTimeoutOf(message);
    Response response{ message.result_int(), EndToEndHeaders(message), "" };
    response.body = std::move(message.body());
    if (response.body.size() >= kCountedBodyBytes) {
      held.Account(ProcessMemory().Bounds().reservedCounts
                     ? response.body.capacity()
                     : response.body.size());
      response.held = std::move(held);
    }
    return response;
  }

  Error Fail(const beast::error_code& aError)
  {
    this->Close();
    if (aError == beast::error::timeout) {
      return { ErrorKind::TimedOut, "no response within the timeout", "" };
    }
    if (aError == http::error::body_limit) {
      return { ErrorKind::TooLarge,
               "the response exceeds its size limit",
               "raise 'limits.answer_bytes'" };
    }
    if (IsMalformed(aError)) {
      return this->FailMalformed(aError.message());
    }
    return { ErrorKind::ConnectionLost,
             "the connection was lost: " + aError.message(),
             "" };
  }

  Error FailMalformed(const std::string& aPart)
  {
    this->Close();
    return { ErrorKind::BadMessage,
             "the response is malformed: " + aPart,
             "check the server that sent it" };
  }

  beast::tcp_stream stream;
  beast::flat_buffer buffer{ kMaxBufferBytes };
  TimePoint deadline;
  std::string host;
  bool keepAlive = true;
  bool responseStarted = false;
  Duration keepAliveTimeout = Duration::max();
};

}

Result<std::unique_ptr<HttpClient>>
HttpClient::Open(boost::asio::io_context& aContext,
                 const Endpoint& aEndpoint,
                 Duration aTimeout)
{
  auto socket = Connect(aContext, aEndpoint, aTimeout);
  if (!Succeeded(socket)) {
    return Failure(socket);
  }
  EnableDeadPeerDetection(Value(socket));
  return std::make_unique<BeastClient>(std::move(Value(socket)),
                                       ToString(aEndpoint));
}

}
