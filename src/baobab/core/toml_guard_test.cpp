#include "toml_guard.hpp"

#include "baobab/core/toml_entry.hpp"

#include <boost/test/unit_test.hpp>

namespace baobab {

BOOST_AUTO_TEST_SUITE(toml_guard)

BOOST_AUTO_TEST_CASE(strings_and_comments_may_contain_non_ascii)
{
  BOOST_TEST(
    !FindUnquotedNonAscii("a = \"\xc3\xa9 \\\" \xc3\xa9\" # \xc3\xa9\n"));
  BOOST_TEST(
    !FindUnquotedNonAscii("a = '\xc3\xa9'\nb = \"\"\"\n\xc3\xa9\"\n\"\"\"\n"));
  BOOST_TEST(!FindUnquotedNonAscii("a = '''\n'\xc3\xa9'\n'''\n# end"));
}

BOOST_AUTO_TEST_CASE(finds_non_ascii_outside_of_strings)
{
  BOOST_TEST(FindUnquotedNonAscii("a = 1\n\xc9\xab = 2\n").value() == 6U);
  BOOST_TEST(FindUnquotedNonAscii("a = 'x\n\xc3\xa9").value() == 7U);
}

/// Found by fuzzing: for such a byte the library ran into code that it marks
/// as unreachable.
BOOST_AUTO_TEST_CASE(unquoted_non_ascii_is_a_syntax_error_with_its_location)
{
  const auto read = ReadToml("a = 1\n\xc9\xab = 2\n", "f.toml");
  BOOST_REQUIRE(!Succeeded(read));
  BOOST_TEST((Failure(read).kind == ErrorKind::Syntax));
  BOOST_TEST(Failure(read).message.starts_with("f.toml:2:1:"));
}

BOOST_AUTO_TEST_CASE(a_quote_in_an_invalid_value_does_not_start_a_string)
{
  BOOST_TEST(!Succeeded(ReadToml("4=-!k\"kk[\xc7\x96k0", "f.toml")));
}

BOOST_AUTO_TEST_CASE(reads_non_ascii_strings)
{
  BOOST_TEST(Succeeded(ReadToml("a = '\xc3\xa9' # \xc3\xa9\n", "f.toml")));
}

BOOST_AUTO_TEST_SUITE_END()

}
