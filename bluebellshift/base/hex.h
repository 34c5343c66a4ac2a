// Conversion of hexadecimal digits.
#pragma once

namespace bluebellshift::base {

// Returns 0 to 15, or -1 if the character is not a hexadecimal digit.
constexpr int hexValue(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    if (c >= 'A' && c <= 'F')
        return c - 'A' + 10;
    return -1;
}

} // namespace bluebellshift::base
