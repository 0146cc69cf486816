#include "log_sink.hpp"

#include <cerrno>
#include <unistd.h>

namespace baobab {
namespace {

/// Size of the collected lines from which on they are written at once.
constexpr std::size_t kWriteBytes = 32768;

}

LogQueueState&
QueueState()
{
  static LogQueueState state;
  return state;
}

void
DescriptorBackend::consume(const boost::log::record_view&,
                           const std::string& aLine)
{
  --QueueState().waiting;
  this->Append(aLine);
}

void
DescriptorBackend::Append(const std::string& aLine)
{
  this->collected += aLine;
  this->collected += '\n';
  if (this->collected.size() >= kWriteBytes) {
    this->Write();
  }
}

void
DescriptorBackend::Write()
{
  std::size_t written = 0;
  while (written < this->collected.size()) {
    const ssize_t count = ::write(this->descriptor,
                                  this->collected.data() + written,
                                  this->collected.size() - written);
    if (count < 0 && errno != EINTR) {
      break;
    }
    written += count > 0 ? static_cast<std::size_t>(count) : 0;
  }
  this->collected.clear();
}

}
