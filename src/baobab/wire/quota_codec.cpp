#include "baobab/wire/quota_codec.hpp"

#include <algorithm>
#include <array>
#include <concepts>
#include <limits>

namespace baobab {
namespace {

/// Read as the offset with which a gossip datagram begins, it would lie far
/// beyond the end of the datagram.
constexpr std::array<std::uint8_t, 4> kPrefix = { 'Q', 'T', 'A', '1' };

constexpr std::uint8_t kRequestKind = 0;
constexpr std::uint8_t kReplyKind = 1;
constexpr std::uint8_t kRelayedFlag = 2;
constexpr std::uint8_t kLendsFlag = 4;
constexpr std::uint8_t kLeavingFlag = 8;

constexpr unsigned kBitsPerByte = 8;
constexpr unsigned kVarintBits = 7;
constexpr std::uint8_t kVarintMore = 0x80;

class Writer
{
public:
  void Add(std::uint64_t aValue, std::size_t aBytes)
  {
    for (std::size_t i = 0; i < aBytes; ++i) {
      this->text.push_back(static_cast<char>(aValue >> (i * kBitsPerByte)));
    }
  }

  void AddVarint(std::uint64_t aValue)
  {
    for (; aValue >= kVarintMore; aValue >>= kVarintBits) {
      this->Add(aValue | kVarintMore, 1);
    }
    this->Add(aValue, 1);
  }

  void Add(const Endpoint& aEndpoint)
  {
    this->Add(aEndpoint.address, sizeof aEndpoint.address);
    this->Add(aEndpoint.port, sizeof aEndpoint.port);
  }

  void Add(const QuotaStamp& aStamp)
  {
    this->Add(aStamp.run, sizeof aStamp.run);
    this->AddVarint(aStamp.millis);
  }

  std::string text;
};

class Reader
{
public:
  explicit Reader(std::span<const std::uint8_t> aBytes)
    : bytes(aBytes)
  {
  }

  template<std::unsigned_integral T>
  T Read(std::size_t aBytes = sizeof(T))
  {
    if (this->bytes.size() < aBytes) {
      this->failed = true;
      return 0;
    }
    T value = 0;
    for (std::size_t i = 0; i < aBytes; ++i) {
      value |= static_cast<T>(T{ this->bytes[i] } << (i * kBitsPerByte));
    }
    this->bytes = this->bytes.subspan(aBytes);
    return value;
  }

  std::uint32_t ReadVarint()
  {
    std::uint64_t value = 0;
    for (unsigned shift = 0; shift <= 4 * kVarintBits; shift += kVarintBits) {
      const auto byte = this->Read<std::uint8_t>();
      value |= std::uint64_t{ byte & (kVarintMore - 1U) } << shift;
      if ((byte & kVarintMore) == 0) {
        this->failed |= value > std::numeric_limits<std::uint32_t>::max();
        return static_cast<std::uint32_t>(value);
      }
    }
    this->failed = true;
    return 0;
  }

  Endpoint ReadEndpoint()
  {
    const auto address = this->Read<std::uint32_t>();
    return { address, this->Read<std::uint16_t>() };
  }

  QuotaStamp ReadStamp()
  {
    const auto run = this->Read<std::uint32_t>();
    return { run, this->ReadVarint() };
  }

  /// Reads a list of entries.
  template<class T, class F>
  std::vector<T> ReadList(F aReadEntry)
  {
    const std::uint32_t count = this->ReadVarint();
    std::vector<T> entries;
    if (count > kMaxQuotaEntries) {
      this->failed = true;
      return entries;
    }
    entries.reserve(count);
    for (std::uint32_t i = 0; i < count && !this->failed; ++i) {
      entries.push_back(aReadEntry());
    }
    return entries;
  }

  /// True if all bytes have been read and were valid.
  bool IsComplete() const { return !this->failed && this->bytes.empty(); }

private:
  std::span<const std::uint8_t> bytes;
  bool failed = false;
};

/// Writes what requests and replies have in common.
template<class T>
void
AddHead(Writer& aWriter, const T& aMessage, std::uint8_t aFlags)
{
  std::ranges::for_each(kPrefix,
                        [&](std::uint8_t aByte) { aWriter.Add(aByte, 1); });
  aWriter.Add(aFlags | (aMessage.relayed ? kRelayedFlag : 0), 1);
  aWriter.Add(aMessage.borrower);
  aWriter.Add(aMessage.lender);
  aWriter.Add(aMessage.run, sizeof aMessage.run);
  aWriter.AddVarint(aMessage.sequence);
}

void
Encode(Writer& aWriter, const QuotaRequest& aRequest)
{
  AddHead(aWriter, aRequest, kRequestKind);
  aWriter.AddVarint(aRequest.answered);
  aWriter.Add(aRequest.vote);
  const std::size_t count = std::min(aRequest.needs.size(), kMaxQuotaEntries);
  aWriter.AddVarint(count);
  for (const QuotaNeed& need : std::span(aRequest.needs).first(count)) {
    aWriter.Add(need.workspace, sizeof need.workspace);
    aWriter.AddVarint(need.want);
    aWriter.AddVarint(need.held);
    aWriter.AddVarint(need.returned);
  }
}

void
Encode(Writer& aWriter, const QuotaReply& aReply)
{
  AddHead(aWriter,
          aReply,
          static_cast<std::uint8_t>(kReplyKind |
                                    (aReply.lends ? kLendsFlag : 0) |
                                    (aReply.leaving ? kLeavingFlag : 0)));
  aWriter.Add(aReply.stamp);
  const std::size_t count = std::min(aReply.loans.size(), kMaxQuotaEntries);
  aWriter.AddVarint(count);
  for (const QuotaLoan& loan : std::span(aReply.loans).first(count)) {
    aWriter.Add(loan.workspace, sizeof loan.workspace);
    aWriter.AddVarint(loan.tokens);
    aWriter.AddVarint(static_cast<std::uint64_t>(loan.wait.count()));
  }
}

template<class T>
void
ReadHead(Reader& aReader, T& aMessage, std::uint8_t aFlags)
{
  aMessage.relayed = (aFlags & kRelayedFlag) != 0;
  aMessage.borrower = aReader.ReadEndpoint();
  aMessage.lender = aReader.ReadEndpoint();
  aMessage.run = aReader.Read<std::uint32_t>();
  aMessage.sequence = aReader.ReadVarint();
}

QuotaRequest
ReadRequest(Reader& aReader, std::uint8_t aFlags)
{
  QuotaRequest request;
  ReadHead(aReader, request, aFlags);
  request.answered = aReader.ReadVarint();
  request.vote = aReader.ReadStamp();
  request.needs = aReader.ReadList<QuotaNeed>([&] {
    QuotaNeed need;
    need.workspace = aReader.Read<std::uint64_t>();
    need.want = aReader.ReadVarint();
    need.held = aReader.ReadVarint();
    need.returned = aReader.ReadVarint();
    return need;
  });
  return request;
}

QuotaReply
ReadReply(Reader& aReader, std::uint8_t aFlags)
{
  QuotaReply reply;
  ReadHead(aReader, reply, aFlags);
  reply.lends = (aFlags & kLendsFlag) != 0;
  reply.leaving = (aFlags & kLeavingFlag) != 0;
  reply.stamp = aReader.ReadStamp();
  reply.loans = aReader.ReadList<QuotaLoan>([&] {
    QuotaLoan loan;
    loan.workspace = aReader.Read<std::uint64_t>();
    loan.tokens = aReader.ReadVarint();
    loan.wait = Millis(aReader.ReadVarint());
    return loan;
  });
  return reply;
}

}

bool
IsQuotaDatagram(std::span<const std::uint8_t> aBytes)
{
  return aBytes.size() >= kPrefix.size() &&
         std::ranges::equal(aBytes.first(kPrefix.size()), kPrefix);
}

std::string
EncodeQuota(const QuotaMessage& aMessage)
{
  Writer writer;
  std::visit([&](const auto& aBody) { Encode(writer, aBody); }, aMessage);
  return std::move(writer.text);
}

Result<QuotaMessage>
DecodeQuota(std::span<const std::uint8_t> aBytes)
{
  const Error error{ ErrorKind::BadMessage, "not a valid quota message", "" };
  if (!IsQuotaDatagram(aBytes)) {
    return error;
  }
  Reader reader(aBytes.subspan(kPrefix.size()));
  const auto flags = reader.Read<std::uint8_t>();
  QuotaMessage message;
  if ((flags & kReplyKind) != 0) {
    message = ReadReply(reader, flags);
  } else {
    message = ReadRequest(reader, flags);
  }
  if (!reader.IsComplete()) {
    return error;
  }
  return message;
}

}
