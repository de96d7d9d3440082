#pragma once

#include <egretstile/core/base/name_table.hpp>

#include <array>
#include <cstdint>

namespace egretstile::infrastructure {

/// Why a call to the key-value service has no result.
enum class store_error : std::uint8_t {
    unavailable,       ///< Nothing was sent, or the service refused the call: it had no effect.
    rate_limited,      ///< Refused because of the call rate: it had no effect.
    no_answer,         ///< Sent, but no response arrived: a write may have taken effect.
    not_found,         ///< The lease does not exist or has ended.
    conflict,          ///< The revision of the key is not the expected one.
    history_compacted, ///< The changes since that revision are no longer kept.
    rejected           ///< The service does not accept the call, for example a value above 1 MB.
};

inline constexpr std::array<enum_name<store_error>, 7> store_error_names{
    {{store_error::unavailable, "unavailable"},
     {store_error::rate_limited, "rate_limited"},
     {store_error::no_answer, "no_answer"},
     {store_error::not_found, "not_found"},
     {store_error::conflict, "conflict"},
     {store_error::history_compacted, "history_gone"},
     {store_error::rejected, "rejected"}}};

} // namespace egretstile::infrastructure
