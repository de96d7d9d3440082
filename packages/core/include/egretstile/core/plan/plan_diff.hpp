#pragma once

#include <egretstile/core/base/name_table.hpp>
#include <egretstile/core/plan/plan.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace egretstile {

enum class difference_kind : std::uint8_t { added, removed, changed };

inline constexpr std::array<enum_name<difference_kind>, 3> difference_kind_names{
    {{difference_kind::added, "added"},
     {difference_kind::removed, "removed"},
     {difference_kind::changed, "changed"}}};

/// A field of a changed row, with its values as text for operators.
struct field_difference {
    std::string field;
    std::string before;
    std::string after;

    friend bool operator==(const field_difference&, const field_difference&) = default;
};

struct plan_difference {
    plan_table table{plan_table::row};
    difference_kind kind{difference_kind::changed};
    std::string name;
    /// The fields that differ; empty for rows that were added or removed.
    std::vector<field_difference> fields;

    friend bool operator==(const plan_difference&, const plan_difference&) = default;
};

/// The differences between two plans. They are ordered by table; in each table, first the added and
/// changed rows by name, then the removed rows by name. The fields that record when a row was added
/// or changed, such as `changed_in`, are not compared. Thread-safe.
std::vector<plan_difference> plan_diff(const plan& before, const plan& after);

} // namespace egretstile
