#include "baobab/node/memory_facts.hpp"

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace baobab {
namespace {

/// A folder that takes the place of the system's files.
class Root
{
public:
  Root()
    : path(std::filesystem::temp_directory_path() /
           ("baobab-memory-facts-" + std::to_string(getpid())))
  {
    std::filesystem::remove_all(this->path);
  }
  Root(const Root&) = delete;
  Root& operator=(const Root&) = delete;
  ~Root() { std::filesystem::remove_all(this->path); }

  void Write(const std::string& aName, const std::string& aText) const
  {
    const std::filesystem::path file = this->path / aName;
    std::filesystem::create_directories(file.parent_path());
    std::ofstream(file) << aText;
  }

  MemoryFacts Read() const { return ReadMemoryFacts(this->path.string()); }

private:
  std::filesystem::path path;
};

}

BOOST_AUTO_TEST_SUITE(memory_facts)

BOOST_AUTO_TEST_CASE(without_files_nothing_is_known)
{
  const MemoryFacts facts = Root().Read();
  BOOST_TEST(!facts.host);
  BOOST_TEST(!facts.controlGroup);
  BOOST_TEST(!facts.sharedControlGroup);
}

BOOST_AUTO_TEST_CASE(the_memory_of_the_host_is_read)
{
  const Root root;
  root.Write("proc/meminfo", "MemTotal:       262144 kB\nMemFree: 1 kB\n");
  BOOST_TEST(root.Read().host.value_or(0) == 256 << 20);
  root.Write("proc/meminfo", "MemTotal: many\n");
  BOOST_TEST(!root.Read().host);
}

BOOST_AUTO_TEST_CASE(the_own_group_and_those_above_are_told_apart)
{
  const Root root;
  root.Write("proc/self/cgroup", "0::/pods/one/daemon\n");
  root.Write("sys/fs/cgroup/pods/one/daemon/memory.max", "1000\n");
  root.Write("sys/fs/cgroup/pods/one/memory.max", "3000\n");
  root.Write("sys/fs/cgroup/pods/memory.max", "2000\n");
  BOOST_TEST(root.Read().controlGroup.value_or(0) == 1000);
  BOOST_TEST(root.Read().sharedControlGroup.value_or(0) == 2000);
}

BOOST_AUTO_TEST_CASE(a_group_without_limit_has_none)
{
  const Root root;
  root.Write("proc/self/cgroup", "0::/daemon\n");
  root.Write("sys/fs/cgroup/daemon/memory.max", "max\n");
  BOOST_TEST(!root.Read().controlGroup);
  BOOST_TEST(!root.Read().sharedControlGroup);
}

BOOST_AUTO_TEST_CASE(a_path_outside_the_container_means_its_top_group)
{
  const Root root;
  root.Write("proc/self/cgroup",
             "5:cpu,cpuacct:/host/a\n4:hugetlb,memory:/host/a\n0::/\n");
  root.Write("sys/fs/cgroup/memory/memory.limit_in_bytes", "4000\n");
  BOOST_TEST(root.Read().controlGroup.value_or(0) == 4000);
  BOOST_TEST(!root.Read().sharedControlGroup);
}

BOOST_AUTO_TEST_CASE(lines_that_cannot_be_parsed_are_skipped)
{
  const Root root;
  root.Write("proc/self/cgroup", "\n:\n0:\n0::\n0::x\n0::/daemon/\n");
  root.Write("sys/fs/cgroup/daemon/memory.max", "500\n");
  BOOST_TEST(root.Read().controlGroup.value_or(0) == 500);
}

BOOST_AUTO_TEST_SUITE_END()

}
