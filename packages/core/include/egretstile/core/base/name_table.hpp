#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace egretstile {

/// One row of a table that maps the values of an `enum class` to their names.
template <typename Enum>
struct enum_name {
    Enum value;
    std::string_view name;
};

/// Name of `value`, or "unknown" when the table does not contain `value`. Thread-safe.
template <typename Enum, std::size_t Size>
constexpr std::string_view name_of(const std::array<enum_name<Enum>, Size>& table, Enum value) {
    for (const enum_name<Enum>& row : table) {
        if (row.value == value) {
            return row.name;
        }
    }
    return "unknown";
}

/// Value with the name `name`, or `std::nullopt` when the table does not contain it. Thread-safe.
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
