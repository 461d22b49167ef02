// How much a task asks of the worker that it takes.
#pragma once

namespace hemlockdeal::jobs
{

// Each mode asks less than the one before.
enum class search_mode
{
    normal,
    // Preferences of fill tasks for other workers do not make the task wait.
    any_room,
    // It may start beside a suspect that is tried, unless it is one itself.
    beside_trial,
    // It may start beside a suspect, also as a suspect: a crash then has
    // several suspects and counts for less.
    shared_trial
};

} // namespace hemlockdeal::jobs
