#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace egretstile {

/// One row of a table of names of an `enum class`.
template <typename Enum>
struct enum_name {
    Enum value;
    std::string_view name;
};

/// Name of `value`, or "unknown" when the table has no such row. Thread-safe.
template <typename Enum, std::size_t Size>
constexpr std::string_view name_of(const std::array<enum_name<Enum>, Size>& table, Enum value) {
    for (const enum_name<Enum>& row : table) {
        if (row.value == value) {
            return row.name;
        }
    }
    return "unknown";
}

/// Value named `name`, or nothing when the table has no such row. Thread-safe.
template <typename Enum, std::size_t Size>
constexpr std::optional<Enum> value_of(const std::array<enum_name<Enum>, Size>& table,
                                       std::string_view name) {
    for (const enum_name<Enum>& row : table) {
        if (row.name == name) {
            return row.value;
        }
    }
    return std::nullopt;
}

} // namespace egretstile
