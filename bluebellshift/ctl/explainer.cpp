#include "bluebellshift/ctl/explainer.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

#include "bluebellshift/core/logevent.h"

namespace bluebellshift::ctl {
namespace {

namespace events = core::log;

// The events that change a belief, and the field that names what it is about; empty:
// there is one such belief in a VM.
struct BeliefEvent
{
    const char *event;
    const char *about;
    const char *field;
};

constexpr BeliefEvent beliefEvents[] = {
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

std::string Explainer::beliefOf(const shell::LogLine &line)
{
    for (const BeliefEvent &belief : beliefEvents) {
        if (line.name == belief.event)
            return std::string(belief.about) + ' ' + line.value(belief.field);
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
    if (const std::string belief = beliefOf(*line); !belief.empty()) {
        beliefs_[vm][belief] = *std::move(line);
        return;
    }
    if (line->value("request") != requestId_)
        return;
    Decision decision { vm, *line, {} };
    const Beliefs &beliefs = beliefs_[vm];
    for (const std::string &key :
         { std::string("config "), std::string("store "), "target " + line->value("target"),
           "team " + line->value("team") }) {
        if (const auto belief = beliefs.find(key); belief != beliefs.end())
            decision.believed.push_back(belief->second);
    }
    decisions_.push_back(std::move(decision));
}

std::vector<std::string> Explainer::story() const
{
    std::vector<Decision> decisions = decisions_;
    std::stable_sort(decisions.begin(), decisions.end(),
                     [](const Decision &a, const Decision &b) { return a.line.at < b.line.at; });
    std::vector<std::string> story;
    std::set<std::string> told; // beliefs are told once
    for (const Decision &decision : decisions) {
        const shell::LogLine &line = decision.line;
        story.push_back(fmt::format("{} {} {} {}", timeText(line.at), decision.vm, line.name,
                                    line.fieldsText()));
        for (const shell::LogLine &belief : decision.believed) {
            const std::string what = fmt::format("{} {}", belief.name, belief.fieldsText());
            const double age = static_cast<double>(line.at.toMicros() - belief.at.toMicros()) / 1e6;
            if (told.insert(decision.vm + what + timeText(belief.at)).second)
                story.push_back(fmt::format("    believed for {:.3f} s: {}", age, what));
        }
    }
    return story;
}

} // namespace bluebellshift::ctl
