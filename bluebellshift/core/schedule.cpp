// Beginning a roll-out raises the serial, and a schedule is valid for one serial only.
// Therefore the schedule object needn't be deleted, and the roll-out begins at most
// once, regardless of which VMs try and which replies are lost.
#include "bluebellshift/core/schedule.h"

#include "bluebellshift/core/jsonfields.h"

namespace bluebellshift::core {

std::string encodeSchedule(const ScheduledRollout &schedule)
{
    const nlohmann::json json { { "bundle", schedule.bundle },
                                { "after_serial", schedule.afterSerial },
                                { "at_us", static_cast<std::uint64_t>(schedule.at.toMicros()) },
                                { "local_time", schedule.localTime },
                                { "time_zone", schedule.timeZone },
                                { "rules", schedule.rules },
                                { "scheduled_by", schedule.scheduledBy } };
    return json.dump();
}

absl::StatusOr<ScheduledRollout> decodeSchedule(std::string_view text)
{
    const nlohmann::json json = nlohmann::json::parse(text.begin(), text.end(), nullptr, false);
    if (json.is_discarded())
        return absl::InvalidArgumentError("schedule: not JSON");
    JsonFields fields(json, "schedule");
    ScheduledRollout schedule;
    schedule.bundle = fields.text("bundle");
    schedule.afterSerial = static_cast<std::uint64_t>(fields.integer("after_serial"));
    schedule.at = WallTime::fromMicros(fields.integer("at_us"));
    schedule.localTime = fields.text("local_time");
    schedule.timeZone = fields.text("time_zone");
    schedule.rules = fields.text("rules");
    schedule.scheduledBy = fields.text("scheduled_by");
    const absl::Status status = fields.finish();
    if (!status.ok())
        return status;
    return schedule;
}

} // namespace bluebellshift::core
