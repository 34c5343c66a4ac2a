#include "bluebellshift/net/bytebudget.h"

namespace bluebellshift::net {

bool ByteHolding::resize(std::size_t bytes)
{
    if (bytes > bytes_) {
        const bool isLarge = bytes > ByteBudget::smallHolding;
        if (isLarge && bytes > budget_.largestHolding())
            return false;
        const double share = isLarge ? ByteBudget::largeHoldingsShare : 1;
        const auto limit = static_cast<std::size_t>(static_cast<double>(budget_.limit_) * share);
        if (budget_.used_ + (bytes - bytes_) > limit)
            return false;
    }
    set(bytes);
    return true;
}

void ByteHolding::set(std::size_t bytes)
{
    budget_.used_ = budget_.used_ - bytes_ + bytes;
    bytes_ = bytes;
}

} // namespace bluebellshift::net
