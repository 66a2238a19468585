#pragma once

#include <string>
#include <vector>

namespace hawthornslip::crashes {

/** How much of its answer an upstream has written when it ends. */
enum class Progress {
    Nothing,
    PartOfHead,
    Head,
    PartOfEvent,
    OneEvent,
    TwoEventsAtOnce,
};

/** How the length of an answer is told. */
enum class Framing {
    Chunks,
    Length,
    /** The answer ends with its connection. */
    Close,
};

/** What becomes of the process and its connections. */
enum class Ending {
    /** The process exits, and the kernel closes its connections. */
    Exit,
    /** The process aborts by a signal. */
    Abort,
    /** The process exits, and its connections are reset. */
    Reset,
    /** The process closes its connections and exits some hundred milliseconds later. */
    LateExit,
    /** The process cuts this one connection and goes on. */
    CutOne,
};

/** Who has the port of a process that has ended, until the next one starts there. */
enum class PortAfter {
    Nobody,
    /** Another process accepts connections and says nothing. */
    Silent,
    /** Another process accepts connections and closes them. */
    Closing,
    /** Another process listens and accepts nothing, and its backlog is full. */
    Full,
    /** The next process starts at once, under another id. */
    NextProcess,
    /** The next process starts at once, under the same id. */
    SameIdAgain,
};

/** One way in which the end of an upstream looks to the node. */
struct CrashRow
{
    std::string name;
    Progress progress = Progress::Head;
    Framing framing = Framing::Chunks;
    Ending ending = Ending::Exit;
    PortAfter port = PortAfter::Nobody;
    /** Part of the sound requests whose connection is cut as the deadly ones are. */
    double cutSound = 0;
};

/** @return all rows. */
std::vector<CrashRow> allRows();

} // namespace hawthornslip::crashes
