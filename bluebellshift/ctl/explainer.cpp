#include "bluebellshift/ctl/explainer.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

#include "bluebellshift/core/logevent.h"

namespace bluebellshift::ctl {
namespace {

namespace events = core::log;

// An event that changes the known state of a subject, and the field that identifies
// the subject. The field is empty if a VM has a single subject of the kind.
struct StateEvent
{
    const char *event;
    const char *subject;
    const char *field;
};

constexpr StateEvent stateEvents[] = {
    { events::configInForce.name, "config", "" },
    { events::readyChanged.name, "ready", "" },
    { events::storeLost.name, "store", "" },
    { events::storeRegained.name, "store", "" },
    { events::targetJoined.name, "target", "target" },
    { events::targetLeaving.name, "target", "target" },
    { events::targetGone.name, "target", "target" },
    { events::targetLapsed.name, "target", "target" },
    { events::targetEjected.name, "target", "target" },
    { events::targetReturned.name, "target", "target" },
    { events::admissionMoved.name, "team", "team" },
};

std::string timeText(core::WallTime at)
{
    const std::int64_t millis = at.toMicros() / 1000;
    const std::int64_t second = millis / 1000 % 86'400;
    return fmt::format("{:02}:{:02}:{:02}.{:03}", second / 3600, second / 60 % 60, second % 60,
                       millis % 1000);
}

std::string lastWord(const std::string &text)
{
    const std::size_t space = text.find_last_of(' ');
    return space == std::string::npos ? text : text.substr(space + 1);
}

} // namespace

std::string Explainer::stateKeyOf(const shell::LogLine &line)
{
    for (const StateEvent &state : stateEvents) {
        if (line.name == state.event)
            return std::string(state.subject) + ' ' + line.value(state.field);
    }
    return {};
}

void Explainer::read(const std::string &source, std::string_view text)
{
    std::optional<shell::LogLine> line = shell::parseLogLine(text);
    if (!line)
        return;
    ++linesRead_;
    const std::string vm = line->prefix.empty() ? source : lastWord(line->prefix);
    if (const std::string key = stateKeyOf(*line); !key.empty()) {
        stateByVm_[vm][key] = *std::move(line);
        return;
    }
    if (line->value("request") != requestId_)
        return;
    Decision decision { vm, *line, {} };
    const VmState &vmState = stateByVm_[vm];
    for (const std::string &key :
         { std::string("config "), std::string("store "), "target " + line->value("target"),
           "team " + line->value("team") }) {
        if (const auto state = vmState.find(key); state != vmState.end())
            decision.relevantState.push_back(state->second);
    }
    decisions_.push_back(std::move(decision));
}

std::vector<std::string> Explainer::timeline() const
{
    std::vector<Decision> decisions = decisions_;
    std::stable_sort(decisions.begin(), decisions.end(),
                     [](const Decision &a, const Decision &b) { return a.line.at < b.line.at; });
    std::vector<std::string> timeline;
    std::set<std::string> printed; // each state is printed once
    for (const Decision &decision : decisions) {
        const shell::LogLine &line = decision.line;
        timeline.push_back(fmt::format("{} {} {} {}", timeText(line.at), decision.vm, line.name,
                                       line.fieldsText()));
        for (const shell::LogLine &state : decision.relevantState) {
            const std::string what = fmt::format("{} {}", state.name, state.fieldsText());
            const double age = static_cast<double>(line.at.toMicros() - state.at.toMicros()) / 1e6;
            if (printed.insert(decision.vm + what + timeText(state.at)).second)
                timeline.push_back(fmt::format("    believed for {:.3f} s: {}", age, what));
        }
    }
    return timeline;
}

} // namespace bluebellshift::ctl
