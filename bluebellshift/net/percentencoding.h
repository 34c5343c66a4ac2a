// Percent-encoding of texts in the path or the query of a URL, as RFC 3986 describes it.
//
//   request.target = "/objects?after=" + encodePercent(name);
#pragma once

#include <string>

namespace bluebellshift::net {

// Encodes all bytes but the unreserved characters: letters, digits and -_.~
std::string encodePercent(const std::string &text);

// Also decodes a plus sign, as a space.
std::string decodePercent(const std::string &text);

} // namespace bluebellshift::net
