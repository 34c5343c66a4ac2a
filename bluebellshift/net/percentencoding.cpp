#include "bluebellshift/net/percentencoding.h"

#include <cstdlib>

namespace bluebellshift::net {

std::string encodePercent(const std::string &text)
{
    constexpr char hexDigits[] = "0123456789ABCDEF";
    std::string encoded;
    for (const unsigned char c : text) {
        const bool isUnreserved = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
            || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.' || c == '~';
        if (isUnreserved) {
            encoded += static_cast<char>(c);
            continue;
        }
        encoded += '%';
        encoded += hexDigits[c >> 4];
        encoded += hexDigits[c & 15];
    }
    return encoded;
}

std::string decodePercent(const std::string &text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            const std::string digits = text.substr(i + 1, 2);
            decoded += static_cast<char>(std::strtol(digits.c_str(), nullptr, 16));
            i += 2;
        } else {
            decoded += text[i] == '+' ? ' ' : text[i];
        }
    }
    return decoded;
}

} // namespace bluebellshift::net
