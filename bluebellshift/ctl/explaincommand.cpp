#include <fstream>
#include <iostream>

#include <fmt/format.h>

#include "bluebellshift/ctl/commands.h"
#include "bluebellshift/ctl/explainer.h"

namespace bluebellshift::ctl {
namespace {

void readLines(std::istream &input, const std::string &source, Explainer *explainer)
{
    for (std::string line; std::getline(input, line);)
        explainer->read(source, line);
}

// Returns the file name without its directory and extension.
std::string vmNameOf(const std::string &path)
{
    const std::string name = path.substr(path.find_last_of('/') + 1);
    return name.substr(0, name.find_last_of('.'));
}

} // namespace

int explainRequest(const CommandContext &context, const Arguments &arguments)
{
    const std::string &request = arguments[0];
    Explainer explainer(request);
    for (std::size_t i = 1; i < arguments.size(); ++i) {
        std::ifstream file(arguments[i]);
        if (!file) {
            context.printError(fmt::format("log \"{}\" can't be read", arguments[i]));
            return exitUsage;
        }
        readLines(file, vmNameOf(arguments[i]), &explainer);
    }
    if (arguments.size() == 1)
        readLines(std::cin, "standard-input", &explainer);
    const std::vector<std::string> timeline = explainer.timeline();
    for (const std::string &line : timeline)
        context.print(line);
    if (!timeline.empty())
        return exitOk;
    context.printError(fmt::format("none of {} log lines names the request \"{}\"",
                                   explainer.linesRead(), request));
    return exitNotFound;
}

} // namespace bluebellshift::ctl
