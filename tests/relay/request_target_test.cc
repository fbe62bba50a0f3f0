#include "relay/request_target.h"

#include <boost/test/unit_test.hpp>

namespace endiveyard {

BOOST_AUTO_TEST_CASE(AbsoluteFormsAreSplit) {
  const struct {
    const char* target;
    const char* authority;
    const char* path_and_query;
  } cases[] = {
      {"http://h/a/b?c=d", "h", "/a/b?c=d"},
      {"HTTP://h:8080/a", "h:8080", "/a"},
      {"https://h/", "h", "/"},
      {"http://h", "h", ""},
      {"http://h?c=http://other/", "h", "?c=http://other/"},
      {"http://[::1]:80/a", "[::1]:80", "/a"},
  };
  for (const auto& it : cases) {
    const auto parsed = ParseRequestTarget(it.target);
    BOOST_TEST_REQUIRE(parsed.has_value(), it.target);
    BOOST_TEST(parsed->authority.value_or("") == it.authority);
    BOOST_TEST(parsed->path_and_query == it.path_and_query);
  }
}

BOOST_AUTO_TEST_CASE(OtherFormsAreUnchanged) {
  for (const char* target :
       {"/a", "/a?u=http://h/", "*", "//h/a", "h:80", "ftp://h/a", ""}) {
    const auto parsed = ParseRequestTarget(target);
    BOOST_TEST_REQUIRE(parsed.has_value(), target);
    BOOST_TEST(!parsed->authority.has_value());
    BOOST_TEST(parsed->path_and_query == target);
  }
}

BOOST_AUTO_TEST_CASE(AbsoluteFormsWithoutAHostAreRejected) {
  for (const char* target : {"http:///a", "http://", "http://?a",
                             "http://user@h/a", "http://user:pw@h/a"}) {
    BOOST_TEST(!ParseRequestTarget(target).has_value(), target);
  }
}

}  // namespace endiveyard
