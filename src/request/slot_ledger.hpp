// Borrows slots for this daemon, and lends slots of the instances that it
// coordinates.
#pragma once

#include <cstdint>
#include <random>
#include <vector>

#include "core/core.hpp"
#include "request/endpoint_directory.hpp"

namespace hemlockdeal
{

class slot_ledger
{
public:
    // Request numbers continue above those of earlier processes on the same VM.
    // `tracks_loans` is false only in tests that break the guarantee.
    slot_ledger(endpoint_directory& directory, incarnation process,
                bool tracks_loans);

    // Requests the slots that are missing on each instance, at most once per
    // `round_interval`. `waiting` is the number of queued requests by service.
    void run_round(const std::vector<std::size_t>& waiting,
                   std::mt19937_64& generator, time_point now);
    time_point next_round() const { return next_round_; }

    void on_request(const vm_id& sender, const slot_request& request,
                    time_point now);
    void on_grant(const slot_grant& grant);

    // Returns all loans to their coordinators.
    void release_loans(time_point now);

    std::vector<send_to_peer> take_messages();

    static constexpr duration round_interval = std::chrono::milliseconds(250);

private:
    void renew_or_grow_loan(instance_index i, std::size_t waiting,
                            time_point now);
    void request_from_other_zones(service_index s, std::size_t waiting,
                                  std::mt19937_64& generator, time_point now);
    void request_slots(instance_index i, std::uint32_t wanted, time_point now);
    slot_grant lend(endpoint_instance& instance, const vm_id& borrower,
                    const slot_request& request, time_point now);

    endpoint_directory& directory_;
    bool tracks_loans_;
    std::uint64_t last_request_number_;
    time_point next_round_{};
    std::vector<send_to_peer> messages_;
};

} // namespace hemlockdeal
