#include "baobab/net/http_client.hpp"

#include "testing/scripted_server.hpp"

namespace baobab {
namespace {

constexpr Duration kTimeout = 5s;

/// Parts of a text.
using Parts = std::initializer_list<std::string_view>;

std::string
Join(Parts aParts)
{
  std::string text;
  for (const std::string_view part : aParts) {
    text += part;
  }
  return text;
}

/// Sends one request to a server that answers with given bytes and closes.
Result<Response>
ExchangeWith(const std::string& aAnswer, const std::string& aMethod = "GET")
{
  std::optional<Result<Response>> response;
  ScriptedServer({ aAnswer })
    .Listening([&](boost::asio::io_context& aContext, const Endpoint& aServer) {
      auto client = HttpClient::Open(aContext, aServer, kTimeout);
      BOOST_TEST(Succeeded(client));
      Request request;
      request.method = aMethod;
      request.target = "/";
      response =
        Value(client)->Exchange(request, { 1U << 20U, kTimeout, nullptr });
      BOOST_TEST((Succeeded(*response) || !Value(client)->Reusable()));
    });
  return std::move(*response);
}

void
CheckMalformed(Parts aParts)
{
  const std::string answer = Join(aParts);
  const auto response = ExchangeWith(answer);
  BOOST_TEST(!Succeeded(response), answer);
  if (!Succeeded(response)) {
    BOOST_TEST((Failure(response).kind == ErrorKind::BadMessage),
               answer << Failure(response).message);
  }
}

void
CheckBody(Parts aParts, const std::string& aBody)
{
  const std::string answer = Join(aParts);
  const auto response = ExchangeWith(answer);
  BOOST_TEST(Succeeded(response), answer);
  if (Succeeded(response)) {
    BOOST_TEST(Value(response).body == aBody, answer);
  }
}

const std::string kHello = "Content-Length: 5\r\n\r\nhello";
const std::string kOk = "HTTP/1.1 200 OK\r\n";
const std::string kChunkedOk = kOk + "Transfer-Encoding: chunked\r\n\r\n";

}

BOOST_AUTO_TEST_SUITE(http_client)

/// Callers were sent status 000 as an answer.
BOOST_AUTO_TEST_CASE(a_status_that_http_does_not_define_is_malformed)
{
  for (const std::string status :
       { "000", "001", "099", "600", "601", "999" }) {
    CheckMalformed({ "HTTP/1.1 ", status, " Odd\r\n", kHello });
    CheckMalformed({ "HTTP/1.1 ", status, " \r\n\r\nuntil the end" });
  }
}

BOOST_AUTO_TEST_CASE(a_malformed_status_line_is_refused)
{
  for (const std::string line : {
         "HTTP/1.1 20 OK",      "HTTP/1.1 2000 OK",  "HTTP/1.1 +20 OK",
         "HTTP/1.1 -20 OK",     "HTTP/1.1 2x0 OK",   "HTTP/1.1 OK",
         "HTTP/1.1  200 OK",    "HTTP/1.1\t200 OK",  "HTTP/1.1 200\tOK",
         "HTTP/1.1 200OK",      "HTTP/1.1200 OK",    " HTTP/1.1 200 OK",
         "http/1.1 200 OK",     "HTTP/1.2 200 OK",   "HTTP/2.0 200 OK",
         "HTTP/0.9 200 OK",     "HTTP/11 200 OK",    "HTTP/1.1 200 O\x01K",
         "HTTP/1.1 200 O\x7fK", "HTTP/1.1 200 O\rK", "HTTP/1.1 200 O\nK",
       }) {
    CheckMalformed({ line, "\r\n", kHello });
  }
  CheckMalformed({ "HTTP/1.1 200 O", std::string(1, '\0'), "K\r\n", kHello });
}

BOOST_AUTO_TEST_CASE(a_malformed_field_line_is_refused)
{
  for (const std::string line : {
         "X y: v",
         "X\ty: v",
         "X\x01y: v",
         "X\x7fy: v",
         "X\x80y: v",
         "X\xffy: v",
         "X : v",
         "X\t: v",
         ": v",
         "no colon",
         "X(y): v",
         "X: a\x01z",
         "X: a\x7fz",
         "X: a\rz",
         "X: a\nz",
         "Content-Length : 5",
         "Transfer-Encoding : chunked",
       }) {
    CheckMalformed({ kOk, line, "\r\n", kHello });
    CheckMalformed({ kOk, "A: b\r\n", line, "\r\n", kHello });
    CheckMalformed({ kChunkedOk, "5\r\nhello\r\n0\r\n", line, "\r\n\r\n" });
  }
  CheckMalformed({ kOk, " X: v\r\n", kHello });
  CheckMalformed({ kOk, "X", std::string(1, '\0'), "y: v\r\n", kHello });
  CheckMalformed({ kOk, "X: a", std::string(1, '\0'), "z\r\n", kHello });
}

BOOST_AUTO_TEST_CASE(conflicting_or_invalid_lengths_are_refused)
{
  for (const std::string fields : {
         "Content-Length: 5\r\nContent-Length: 4",
         "Content-Length: 5, 4",
         "Content-Length: 5 4",
         "Content-Length: 5,",
         "Content-Length: +5",
         "Content-Length: -5",
         "Content-Length: 0x5",
         "Content-Length: 5.0",
         "Content-Length: five",
         "Content-Length:",
         "Content-Length: 99999999999999999999",
         "Content-Length: 5\r\nTransfer-Encoding: chunked",
         "Transfer-Encoding: chunked\r\nContent-Length: 5",
       }) {
    CheckMalformed({ kOk, fields, "\r\n\r\nhello" });
  }
}

/// Callers were sent bodies that were still encoded. The client offers no
/// transfer coding, so that it can decode only `chunked`.
BOOST_AUTO_TEST_CASE(transfer_codings_other_than_chunked_are_refused)
{
  const std::string chunks = "5\r\nhello\r\n0\r\n\r\n";
  for (const std::string fields : {
         "Transfer-Encoding: gzip",
         "Transfer-Encoding: identity",
         "Transfer-Encoding: chunke",
         "Transfer-Encoding: xchunked",
         "Transfer-Encoding:",
         "Transfer-Encoding: gzip, chunked",
         "Transfer-Encoding: chunked, gzip",
         "Transfer-Encoding: chunked, chunked",
         "Transfer-Encoding: chunked;q=1",
         "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked",
         "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip",
         "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
         "Transfer-Encoding: gzip\r\nContent-Length: 15",
         "Content-Length: 15\r\nTransfer-Encoding: gzip",
       }) {
    CheckMalformed({ kOk, fields, "\r\n\r\n", chunks });
  }
  CheckMalformed(
    { "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunks });
}

BOOST_AUTO_TEST_CASE(malformed_chunks_are_refused)
{
  for (const std::string chunks : {
         "\r\nhello\r\n0\r\n\r\n",
         "x\r\nhello\r\n0\r\n\r\n",
         "-5\r\nhello\r\n0\r\n\r\n",
         "+5\r\nhello\r\n0\r\n\r\n",
         " 5\r\nhello\r\n0\r\n\r\n",
         "0x5\r\nhello\r\n0\r\n\r\n",
         "5 5\r\nhello\r\n0\r\n\r\n",
         "5\nhello\r\n0\r\n\r\n",
         "4\r\nhello\r\n0\r\n\r\n",
         "6\r\nhello\r\n0\r\n\r\n",
         "5\r\nhello0\r\n\r\n",
         "5\r\nhello\n0\r\n\r\n",
         "10000000000000005\r\nhello\r\n0\r\n\r\n",
         "5;\r\nhello\r\n0\r\n\r\n",
         "5;a=\x01\r\nhello\r\n0\r\n\r\n",
         "5\r\nhello\r\n0\r\nContent-Length: 5\r\n\r\n",
         "5;a=\"\x01\"\r\nhello\r\n0\r\n\r\n",
         "5;a=\"\n\"\r\nhello\r\n0\r\n\r\n",
         "5\r\nhello\r\n0;a=\"\x7f\"\r\n\r\n",
       }) {
    CheckMalformed({ kChunkedOk, chunks });
  }
}

/// Callers were sent an interim response as the answer.
BOOST_AUTO_TEST_CASE(interim_responses_are_skipped)
{
  for (const std::string interim : {
         "HTTP/1.1 100 Continue\r\n\r\n",
         "HTTP/1.1 102 Processing\r\n\r\n",
         "HTTP/1.1 103 Early Hints\r\nLink: </s.css>\r\n\r\n",
         "HTTP/1.1 199 \r\n\r\n",
         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n",
       }) {
    CheckBody({ interim, kOk, kHello }, "hello");
  }
  CheckMalformed({ "HTTP/1.1 100 Continue\r\nX y: v\r\n\r\n", kOk, kHello });
  CheckMalformed(
    { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Odd\r\n", kHello });
}

BOOST_AUTO_TEST_CASE(a_switch_of_protocols_that_nobody_asked_for_is_refused)
{
  CheckMalformed({ "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n"
                   "Connection: upgrade\r\n\r\n",
                   kOk,
                   kHello });
}

BOOST_AUTO_TEST_CASE(valid_answers_are_accepted)
{
  const std::string everyTokenCharacter =
    "!#$%&'*+-.^_`|~09azAZ: all token characters\r\n";
  for (const std::string& head : {
         std::string("HTTP/1.1 200 \r\n"),
         std::string("HTTP/1.1 200 Fine \x80\xff\ttoo\r\n"),
         std::string("HTTP/1.1 599 Last\r\n"),
         std::string("HTTP/1.0 200 OK\r\n"),
         kOk + everyTokenCharacter,
         kOk + "X: \x80\xff\ta b\r\n",
         kOk + "X:\r\n",
         kOk + "X:v\r\n",
         kOk + "X: a\r\n folded\r\n",
         kOk + "Content-Length: 5\r\n",
         kOk + "Content-Length: 5, 5\r\nX: v\r\n",
       }) {
    CheckBody({ head, kHello }, "hello");
  }
  CheckBody({ kOk, "\r\nuntil the end" }, "until the end");
  for (const std::string chunks : {
         "5\r\nhello\r\n0\r\n\r\n",
         "005\r\nhello\r\n00\r\n\r\n",
         "5;a\r\nhello\r\n0;b=c\r\n\r\n",
         "5 ; a = \"b \t\x80\\\"\"\r\nhello\r\n0\r\n\r\n",
         "2\r\nhe\r\n3\r\nllo\r\n0\r\nTrailer: v\r\n\r\n",
       }) {
    CheckBody({ kChunkedOk, chunks }, "hello");
  }
  for (const std::string value : { "Chunked", "chunked,", ", chunked" }) {
    CheckBody(
      { kOk, "Transfer-Encoding:", value, "\r\n\r\n5\r\nhello\r\n0\r\n\r\n" },
      "hello");
  }
}

/// The transfer coding of a response without a body is not applied.
BOOST_AUTO_TEST_CASE(a_coding_without_a_body_is_accepted)
{
  BOOST_TEST(Succeeded(
    ExchangeWith(kOk + "Transfer-Encoding: gzip, chunked\r\n\r\n", "HEAD")));
  CheckBody({ "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: gzip\r\n\r\n" },
            "");
}

BOOST_AUTO_TEST_SUITE_END()

}
