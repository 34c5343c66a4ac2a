#include "bluebellshift/core/testing/reducerbench.h"

#include <fstream>
#include <sstream>

#include <nlohmann/json.hpp>

namespace bluebellshift::core::testing {

using nlohmann::json;

namespace {

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

json endpointJson(const Endpoint &endpoint)
{
    return { { "address", endpoint.address }, { "port", endpoint.port } };
}

} // namespace

// Writes the Association's bundles and targets, the VMs of this bench and one
// team's key.
void ReducerBench::fillStore()
{
    const std::string folder = "deploy/association/";
    json list = json::array();
    for (const Vm &vm : vms_) {
        list.push_back({ { "id", vm.id.text() },
                         { "region", vm.region.text() },
                         { "failure_domain", vm.failureDomain.text() },
                         { "callers", endpointJson(vm.callers) },
                         { "peers", endpointJson(vm.peers) },
                         { "leaving", false } });
    }
    store_.write(kind::vms, "list", Revision(), list.dump());
    store_.write(kind::targets, "rota", Revision(), readFile(folder + "objects/targets-rota.json"));
    const json keys = { { "digests", { { { "digest", base::sha256Hex(key) } } } } };
    store_.write(kind::keys, "multan", Revision(), keys.dump());
    for (const char *version : { "1", "2" }) {
        const std::string toml = readFile(folder + "bundle-" + version + ".toml");
        store_.write(kind::bundle, version, Revision(), json({ { "toml", toml } }).dump());
    }
    const Bundle bundle = *parseBundle(readFile(folder + "bundle-1.toml"));
    store_.write(kind::rollout, rolloutName, Revision(),
                 encodeRollout(firstRollout(bundle, "test", WallTime())));
}

} // namespace bluebellshift::core::testing
