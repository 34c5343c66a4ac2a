#include "bluebellshift/standin/deployment.h"

#include <filesystem>
#include <fstream>
#include <sstream>

#include <nlohmann/json.hpp>

#include "absl/status/statusor.h"
#include "bluebellshift/base/secrets.h"
#include "bluebellshift/core/bundleparser.h"
#include "bluebellshift/core/rollout.h"

namespace bluebellshift::standin {

using nlohmann::json;

namespace {

constexpr char initialBundleFile[] = "bundle-1.toml";
constexpr char sampleAuthor[] = "sample";

absl::StatusOr<std::string> readFile(const std::filesystem::path &path)
{
    std::ifstream file(path);
    if (!file)
        return absl::NotFoundError("can't read \"" + path.string() + "\"");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

absl::Status create(PlatformService &service, const std::string &kind, const std::string &name,
                    const std::string &value)
{
    const auto written = service.write(kind, name, core::Revision(), value);
    if (!written.has_value() || !written->isDone)
        return absl::AlreadyExistsError("object " + kind + "/" + name + " exists");
    return absl::OkStatus();
}

// The file "targets-rota.json" holds the object targets/rota.
absl::Status loadObject(const std::filesystem::path &path, PlatformService &service)
{
    const std::string stem = path.stem().string();
    const std::size_t dash = stem.find('-');
    if (dash == std::string::npos)
        return absl::InvalidArgumentError("\"" + path.string() + "\" is not KIND-NAME.json");
    absl::StatusOr<std::string> text = readFile(path);
    if (!text.ok())
        return text.status();
    return create(service, stem.substr(0, dash), stem.substr(dash + 1), *text);
}

absl::Status loadKeys(const core::Bundle &bundle, PlatformService &service)
{
    for (const core::TeamLimit &limit : bundle.teams) {
        const std::string digest = base::sha256Hex("sample-key-of-" + limit.team.text());
        const json value = {
            { "digests",
              { { { "digest", digest }, { "given_at", "2026-01-01" }, { "by", sampleAuthor } } } }
        };
        const absl::Status status =
            create(service, core::kind::keys, limit.team.text(), value.dump());
        if (!status.ok())
            return status;
    }
    return absl::OkStatus();
}

absl::Status loadBundle(const std::filesystem::path &path, PlatformService &service)
{
    absl::StatusOr<std::string> text = readFile(path);
    if (!text.ok())
        return text.status();
    absl::StatusOr<core::Bundle> bundle = core::parseBundle(*text);
    if (!bundle.ok())
        return bundle.status();
    const json value = { { "toml", *text },
                         { "author", sampleAuthor },
                         { "signed_off_by", { sampleAuthor } } };
    absl::Status status = create(service, core::kind::bundle, bundle->version, value.dump());
    if (!status.ok())
        return status;
    const core::Rollout rollout =
        core::firstRollout(*bundle, sampleAuthor, core::WallTime::fromMicros(0));
    status = create(service, core::kind::rollout, core::rolloutName, core::encodeRollout(rollout));
    if (!status.ok())
        return status;
    return loadKeys(*bundle, service);
}

} // namespace

absl::Status loadDeployment(const std::string &folder, PlatformService &service)
{
    const std::filesystem::path root(folder);
    std::error_code error;
    for (const auto &entry : std::filesystem::directory_iterator(root / "objects", error)) {
        absl::Status status = loadObject(entry.path(), service);
        if (!status.ok())
            return status;
    }
    if (error)
        return absl::NotFoundError("can't list \"" + (root / "objects").string() + "\"");
    return loadBundle(root / initialBundleFile, service);
}

} // namespace bluebellshift::standin
