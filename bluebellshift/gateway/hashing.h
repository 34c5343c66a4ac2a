// Hashes that are the same on all VMs, so that VMs agree without exchanging messages.
#pragma once

#include <cstdint>
#include <string_view>

namespace bluebellshift::gateway {

// 64-bit FNV-1a.
constexpr std::uint64_t hashText(std::string_view text)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char c : text) {
        hash ^= static_cast<unsigned char>(c);
        hash *= 0x100000001b3ULL;
    }
    return hash;
}

// Mixes two hashes so that each bit of the result depends on all bits of both: the
// finalizer of SplitMix64.
constexpr std::uint64_t mixHashes(std::uint64_t a, std::uint64_t b)
{
    std::uint64_t x = a ^ (b + 0x9e3779b97f4a7c15ULL + (a << 6) + (a >> 2));
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
}

// A hash as a fraction in [0, 1).
constexpr double toFraction(std::uint64_t hash)
{
    return static_cast<double>(hash >> 11) / 9007199254740992.0; // 2 to the 53rd
}

} // namespace bluebellshift::gateway
