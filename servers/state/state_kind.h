#pragma once

#include "core/enum_names.h"

namespace hawthornslip {

/** A kind of shared state that nodes read from the store and pass on to each other. */
enum class StateKind { Config, Upstreams, Nodes };

inline constexpr EnumNames<StateKind, 3> kStateKindNames = {{
        {StateKind::Config, "config"},
        {StateKind::Upstreams, "upstreams"},
        {StateKind::Nodes, "nodes"},
}};

} // namespace hawthornslip
