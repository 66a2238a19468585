#include "tests/crashes/crash_table.h"

namespace hawthornslip::crashes {

std::vector<CrashRow> allRows()
{
    using P = Progress;
    using F = Framing;
    using E = Ending;
    using A = PortAfter;
    return {
            {"before_head", P::Nothing, F::Chunks, E::Exit, A::Nobody},
            {"in_head", P::PartOfHead, F::Chunks, E::Exit, A::Nobody},
            {"head_chunks", P::Head, F::Chunks, E::Exit, A::Nobody},
            {"head_length", P::Head, F::Length, E::Abort, A::Nobody},
            {"head_close", P::Head, F::Close, E::Exit, A::Nobody},
            {"head_reset", P::Head, F::Chunks, E::Reset, A::Nobody},
            {"in_event", P::PartOfEvent, F::Chunks, E::Exit, A::Nobody},
            {"one_event_chunks", P::OneEvent, F::Chunks, E::Exit, A::Nobody},
            {"one_event_close", P::OneEvent, F::Close, E::Exit, A::Nobody},
            {"two_events_chunks", P::TwoEventsAtOnce, F::Chunks, E::Exit, A::Nobody},
            {"two_events_close", P::TwoEventsAtOnce, F::Close, E::Exit, A::Nobody},
            {"late_exit", P::Head, F::Chunks, E::LateExit, A::Nobody},
            {"late_exit_one_event", P::OneEvent, F::Close, E::LateExit, A::Nobody},
            {"port_silent", P::Head, F::Chunks, E::Exit, A::Silent},
            {"port_closing", P::Head, F::Chunks, E::Exit, A::Closing},
            {"port_closing_before_head", P::Nothing, F::Chunks, E::Exit, A::Closing},
            {"port_full", P::Head, F::Chunks, E::Exit, A::Full},
            {"port_next_process", P::Head, F::Chunks, E::Exit, A::NextProcess},
            {"port_same_id", P::Head, F::Chunks, E::Exit, A::SameIdAgain},
            {"port_same_id_before_head", P::Nothing, F::Chunks, E::Exit, A::SameIdAgain},
            {"sound_cuts_close", P::OneEvent, F::Close, E::CutOne, A::Nobody, 0.2},
            {"sound_cuts", P::Head, F::Chunks, E::CutOne, A::Nobody, 0.2},
            {"sound_cuts_before_head", P::Nothing, F::Chunks, E::CutOne, A::Nobody, 0.2},
    };
}

} // namespace hawthornslip::crashes
