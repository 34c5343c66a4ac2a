#include "bluebellshift/gateway/store/meshsecret.h"

#include <algorithm>

namespace bluebellshift::gateway::store {

MeshSecret::MeshSecret(std::string candidateHex, Hooks hooks)
    : candidateHex_(std::move(candidateHex))
    , hooks_(std::move(hooks))
{
}

void MeshSecret::onEntry(const std::string &secretHex)
{
    if (secretHex == inUseHex_)
        return;
    inUseHex_ = secretHex;
    hooks_.use(secretHex);
}

void MeshSecret::onListed(bool exists, std::size_t rank, core::Instant now)
{
    if (exists) {
        hasWaited_ = false;
        listAt_ = core::Instant::never();
        pacer_.reset();
        return;
    }
    if (isCreating_)
        return;
    const bool isHolder = !inUseHex_.empty();
    if (!hasWaited_ && !(isHolder && rank == 0)) {
        hasWaited_ = true;
        const auto ranks = static_cast<std::int64_t>(std::min(rank, maxRankedWaits));
        listAt_ = now
            + (isHolder ? waitForEachRank * ranks + pacer_.spread(waitForEachRank)
                        : minCreateWait + pacer_.spread(createSpread));
        return;
    }
    isCreating_ = true;
    hooks_.create(isHolder ? inUseHex_ : candidateHex_);
}

void MeshSecret::onCreated(core::Instant now)
{
    isCreating_ = false;
    listAt_ = now;
    onTimer(now);
}

void MeshSecret::onCreateFailed(core::Instant now)
{
    isCreating_ = false;
    listAt_ = now + pacer_.nextWait(maxRetryWait);
}

void MeshSecret::onTimer(core::Instant now)
{
    if (listAt_ == core::Instant::never() || now < listAt_)
        return;
    listAt_ = core::Instant::never();
    hooks_.list(now);
}

} // namespace bluebellshift::gateway::store
