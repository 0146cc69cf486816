#include "toml_guard.hpp"

#include "baobab/core/toml_entry.hpp"

#include <boost/test/unit_test.hpp>

namespace baobab {

BOOST_AUTO_TEST_SUITE(toml_guard)

BOOST_AUTO_TEST_CASE(strings_and_comments_may_hold_anything)
{
  BOOST_TEST(
    !FindUnquotedNonAscii("a = \"\xc3\xa9 \\\" \xc3\xa9\" # \xc3\xa9\n"));
  BOOST_TEST(
    !FindUnquotedNonAscii("a = '\xc3\xa9'\nb = \"\"\"\n\xc3\xa9\"\n\"\"\"\n"));
  BOOST_TEST(!FindUnquotedNonAscii("a = '''\n'\xc3\xa9'\n'''\n# end"));
}

BOOST_AUTO_TEST_CASE(keys_and_blanks_are_ascii)
{
  BOOST_TEST(FindUnquotedNonAscii("a = 1\n\xc9\xab = 2\n").value() == 6U);
  BOOST_TEST(FindUnquotedNonAscii("a = 'x\n\xc3\xa9").value() == 7U);
}

/// Found by fuzzing: the library reached code that must not be reached.
BOOST_AUTO_TEST_CASE(a_stray_byte_is_a_syntax_error_with_its_place)
{
  const auto read = ReadToml("a = 1\n\xc9\xab = 2\n", "f.toml");
  BOOST_REQUIRE(!Succeeded(read));
  BOOST_TEST((Failure(read).kind == ErrorKind::Syntax));
  BOOST_TEST(Failure(read).message.starts_with("f.toml:2:1:"));
}

BOOST_AUTO_TEST_CASE(a_quote_in_a_broken_value_opens_no_string)
{
  BOOST_TEST(!Succeeded(ReadToml("4=-!k\"kk[\xc7\x96k0", "f.toml")));
}

BOOST_AUTO_TEST_CASE(texts_beyond_ascii_are_read)
{
  BOOST_TEST(Succeeded(ReadToml("a = '\xc3\xa9' # \xc3\xa9\n", "f.toml")));
}

BOOST_AUTO_TEST_SUITE_END()

}
