#pragma once

#include "net/http_service.hpp"

namespace egretstile::daemon {

class entry_process;

/// Applies and exports the plan as a sheet (CSV) for operators. Thread-safe; blocks for calls to
/// the key-value service and is not for the event loop's thread.
class sheet_api {
public:
    explicit sheet_api(entry_process& process)
        : process_(process) {}

    /// `POST /v1/sheet`: applies the sheet in the body. With `dry_run=1` only reports what would
    /// change; `confirm_removals=1` allows more removals than the removal limit.
    http_answer apply(const http_request& request);

    /// `GET /v1/sheet`: returns the plan in force as a sheet.
    http_answer show();

private:
    entry_process& process_;
};

} // namespace egretstile::daemon
