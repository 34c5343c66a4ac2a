// An operator that writes versions of a configuration at random, and what each of them allows.
//
//   ConfigOperator config(store, seed);
//   config.publish();              // the first version, then changes
//   config.writeAgain();           // after the store has returned from a copy
//   config.outcomeOf(version, path, key);
//
// Each version adds a route of its own and removes the oldest of these, and moves a route to
// another service, drops or restores one, or withdraws or returns a key.
#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "platform/testing/storestandin.h"

namespace bluebellshift::gatewayd::testing {

class ConfigOperator
{
public:
    using Clock = std::chrono::steady_clock;

    struct Version
    {
        std::uint64_t number = 0;
        std::map<std::string, std::string> serviceOf; // by path prefix
        std::set<std::string> keys;
        Clock::time_point firstAcknowledgedAt;
        Clock::time_point acknowledgedAt; // last, as it may be written again
    };

    ConfigOperator(platform::testing::StoreStandin &store, std::uint64_t seed);

    // What each cold target tolerates, in the versions from the next one on. 0: nothing is said.
    void setColdRate(double requestsPerSecond) { coldPerSecond_ = requestsPerSecond; }
    void publish();
    void writeAgain();

    const std::vector<Version> &versions() const { return versions_; }
    // The path of a route that only this version and the next few have.
    static std::string ownPath(std::uint64_t version);
    // A path of the newest version, or one that it no longer has.
    std::string randomPath(std::mt19937_64 &random) const;
    static std::string randomKey(std::mt19937_64 &random);

    // The service that runs the request, or the status with which it is refused.
    static std::string outcomeOf(const Version &version, const std::string &path,
                                 const std::string &key);

private:
    void change(Version &version);
    void write(Version &version);
    platform::Json clusterOf(const std::string &service) const;

    platform::testing::StoreStandin &store_;
    std::mt19937_64 random_;
    std::vector<Version> versions_;
    double coldPerSecond_ = 0;
};

} // namespace bluebellshift::gatewayd::testing
