// Operators' changes of the configuration that are being committed to the
// table.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "control/configuration_row.hpp"
#include "control/pending_reads.hpp"

namespace hemlockdeal
{

struct change_limits
{
    // After this, the operator is told that the change was not accepted or
    // that its outcome is unknown.
    duration timeout;
    duration retry_interval;
};

// Each change reads the head row, commits the next version on condition that
// the head is unchanged, and repeats the identical commit until its outcome is
// known or its time has passed.
class pending_changes
{
public:
    // A change that the table holds.
    struct accepted_change
    {
        std::uint64_t request = 0;
        configuration_row row;
    };

    // `self` makes the ids of commits unique among daemons.
    pending_changes(vm_id self, change_limits limits, pending_reads& reads,
                    std::vector<control_action>& actions)
        : self_(std::move(self)), limits_(limits), reads_(reads),
          actions_(actions)
    {}

    void begin(std::uint64_t request, const configuration_change& change,
               time_point now);
    // The response to a read with purpose change_head.
    void on_head(std::uint64_t request, const std::optional<table_row>& row,
                 time_point now, std::int64_t unix_ms);
    // The response to a read with purpose change_resolve: the row that the
    // change, or the one that won, has written.
    std::optional<accepted_change> on_row(std::uint64_t request,
                                          const std::optional<table_row>& row,
                                          time_point now);
    // A read for this request has failed. It is repeated by retry(): the
    // commit that is sent again causes the conflict that triggers it.
    void on_read_failed(std::uint64_t request);
    bool contains(const commit_id& id) const;
    std::optional<accepted_change> on_outcome(const commit_id& id,
                                              const commit_outcome& outcome,
                                              time_point now);
    void retry(time_point now);

private:
    struct pending_change
    {
        configuration_change change;
        time_point deadline;
        time_point next_attempt;
        // Set once it has been handed out for sending.
        std::optional<table_commit> commit;
        bool in_flight = false;
    };
    using change_map = std::map<std::uint64_t, pending_change>;

    change_map::const_iterator find(const commit_id& id) const;
    table_commit commit_for(std::uint64_t request,
                            const configuration_change& change,
                            const std::optional<table_row>& head,
                            std::int64_t unix_ms) const;
    void read_winner(std::uint64_t request, const configuration_change& change,
                     time_point now);
    void repeat(std::uint64_t request, pending_change& pending, time_point now);
    void reply(std::uint64_t request, operator_reply reply);
    void give_up(std::uint64_t request, operator_reply reply);

    vm_id self_;
    change_limits limits_;
    pending_reads& reads_;
    std::vector<control_action>& actions_;
    change_map changes_;
};

} // namespace hemlockdeal
