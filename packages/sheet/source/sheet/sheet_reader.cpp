#include "sheet/cell_reader.hpp"
#include "sheet/csv_table.hpp"
#include "sheet/sheet_column.hpp"

#include <egretstile/sheet/sheet/sheet_reader.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <utility>

namespace egretstile {

namespace {

// A row describes one task or one replica. These limits are larger than any worker, so a value
// above them is a typing error.
constexpr std::int64_t max_row_cpus = 1024;
constexpr std::int64_t max_row_memory_gb = 16'384;
constexpr std::int64_t max_row_accelerators = 64;
// Ten times the capacity of the fleet in the two-year target.
constexpr std::int64_t max_team_cpus = 1'000'000;
constexpr std::int64_t max_team_memory_gb = 10'000'000;
constexpr std::int64_t max_team_accelerators = 20'000;
constexpr std::int64_t max_run_time_s = 30 * 24 * 3600;
constexpr std::int64_t max_plan_version = 1'000'000'000'000'000;

constexpr std::array<enum_name<task_kind>, 3> batch_kind_names{
    {{task_kind::reconciliation, "reconciliation"},
     {task_kind::notice, "notice"},
     {task_kind::schedule, "schedule"}}};

constexpr std::array<enum_name<recurrence>, 3> batch_recurrence_names{
    {{recurrence::once, "once"}, {recurrence::daily, "daily"}, {recurrence::monthly, "monthly"}}};

/// Texts that spreadsheets export in place of a value that could not be computed.
constexpr std::array<std::string_view, 7> spreadsheet_errors{
    "#REF!", "#N/A", "#VALUE!", "#NAME?", "#DIV/0!", "#NULL!", "#NUM!"};

/// Whether the cell is a formula or the error of one.
bool is_formula(const std::string& cell) {
    return (!cell.empty() && cell.front() == '=') ||
           std::find(spreadsheet_errors.begin(), spreadsheet_errors.end(), cell) !=
               spreadsheet_errors.end();
}

/// Converts the rows of one sheet to a document and collects all errors. An instance parses one
/// sheet. Not thread-safe.
class sheet_parser {
public:
    void parse(const csv_table& table) {
        std::size_t next = read_version(table);
        if (next == table.rows.size()) {
            add_row_error(0, "the sheet has no header; its columns must be " + all_columns());
        } else if (read_header(table.rows[next])) {
            for (++next; next < table.rows.size(); ++next) {
                read_row(table.rows[next]);
            }
            check_teams();
        }
        if (table.malformed_row) {
            add_row_error(*table.malformed_row,
                          "a quote is not closed, or not doubled inside a quoted cell; "
                          "the sheet may be truncated");
        }
        std::stable_sort(
            errors_.begin(), errors_.end(),
            [](const sheet_error& left, const sheet_error& right) { return left.row < right.row; });
    }

    std::vector<sheet_error> take_errors() { return std::move(errors_); }

    sheet_document take_document() { return std::move(document_); }

private:
    struct team_reference {
        std::size_t row{0};
        std::string team;
    };

    void add_row_error(std::size_t row, std::string message) {
        errors_.push_back({row, "", "", std::move(message)});
    }

    static std::string all_columns() {
        std::string list;
        for (const enum_name<sheet_column>& row : sheet_column_names) {
            list += (list.empty() ? "" : ", ") + std::string(row.name);
        }
        return list;
    }

    /// Reads the optional row with the plan version. Returns the index of the row that follows it,
    /// or 0 when it is absent.
    std::size_t read_version(const csv_table& table) {
        if (table.rows.empty() ||
            cell_reader::lower_case(table.rows[0].cells[0]) != plan_version_cell) {
            return 0;
        }
        const csv_row& row = table.rows[0];
        const csv_row value{row.number, {row.cells.size() < 2 ? std::string() : row.cells[1]}};
        // `cell_reader` finds cells by column. This row has none, so the number is read as the cell
        // of an arbitrary column.
        const column_positions position{{sheet_column::name, 0}};
        std::vector<sheet_error> errors;
        const std::int64_t version = cell_reader(value, position, errors)
                                         .whole_number(sheet_column::name, 0, max_plan_version);
        for (sheet_error& error : errors) {
            error.column = "plan_version";
            errors_.push_back(error);
        }
        document_.plan_version = static_cast<std::uint64_t>(version);
        return 1;
    }

    bool read_header(const csv_row& header) {
        for (std::size_t i = 0; i < header.cells.size(); ++i) {
            const std::string name = cell_reader::lower_case(header.cells[i]);
            const std::optional<sheet_column> column = value_of(sheet_column_names, name);
            if (name.empty()) {
                continue;
            }
            if (!column) {
                errors_.push_back({header.number, name, header.cells[i],
                                   "unknown column; allowed are " + all_columns()});
            } else if (!positions_.emplace(*column, i).second) {
                errors_.push_back(
                    {header.number, name, header.cells[i], "the column appears twice"});
            }
        }
        for (const enum_name<sheet_column>& column : sheet_column_names) {
            if (positions_.find(column.value) == positions_.end()) {
                errors_.push_back(
                    {header.number, std::string(column.name), "", "the column is missing"});
            }
        }
        header_width_ = header.cells.size();
        return positions_.size() == sheet_column_names.size();
    }

    void read_row(const csv_row& row) {
        if (!has_header_width(row) || has_formula(row)) {
            return;
        }
        cell_reader cells(row, positions_, errors_);
        const std::string type = cell_reader::lower_case(cells.text(sheet_column::type));
        const std::optional<row_type> plan_row_type = value_of(row_type_names, type);
        if (type == team_type) {
            read_team(row.number, cells);
        } else if (plan_row_type) {
            read_plan_row(row.number, *plan_row_type, cells);
        } else {
            cells.add_error(sheet_column::type, "must be one of service, batch, watch, team");
        }
    }

    bool has_header_width(const csv_row& row) {
        if (row.cells.size() < header_width_) {
            add_row_error(row.number, "the row has " + std::to_string(row.cells.size()) +
                                          " cells, the header has " +
                                          std::to_string(header_width_) +
                                          "; the row may be truncated");
            return false;
        }
        if (std::any_of(row.cells.begin() + static_cast<std::ptrdiff_t>(header_width_),
                        row.cells.end(), [](const std::string& cell) { return !cell.empty(); })) {
            add_row_error(row.number,
                          "the row has cells right of the last column; a cell that contains the "
                          "separator must be quoted");
            return false;
        }
        return true;
    }

    bool has_formula(const csv_row& row) {
        bool found = false;
        for (const auto& [column, position] : positions_) {
            if (is_formula(row.cells[position])) {
                errors_.push_back({row.number, std::string(name_of(sheet_column_names, column)),
                                   row.cells[position],
                                   "a formula or its error; export the sheet with values"});
                found = true;
            }
        }
        return found;
    }

    /// Adds an error when an earlier row has the same name. `first_rows` maps each name to the
    /// number of the first row that has it.
    void check_duplicate(std::map<std::string, std::size_t>& first_rows, std::size_t row,
                         const std::string& name, cell_reader& cells) {
        if (name.empty()) {
            return;
        }
        const auto [first, inserted] = first_rows.emplace(name, row);
        if (!inserted) {
            cells.add_error(sheet_column::name, "the name must be unique; row " +
                                                    std::to_string(first->second) + " has it too");
        }
    }

    void read_team(std::size_t number, cell_reader& cells) {
        team_plan team;
        team.name = cells.name(sheet_column::name);
        team.quota.cpu_millicores = cells.thousandths(sheet_column::cpus, max_team_cpus, true);
        team.quota.memory_mb = cells.thousandths(sheet_column::memory_gb, max_team_memory_gb, true);
        team.quota.accelerators =
            cells.whole_number(sheet_column::accelerators, 0, max_team_accelerators);
        for (const sheet_column column :
             {sheet_column::team, sheet_column::kind, sheet_column::priority,
              sheet_column::idempotent, sheet_column::repeats, sheet_column::day_of_month,
              sheet_column::time, sheet_column::time_zone, sheet_column::run_time_s,
              sheet_column::payload}) {
            cells.require_empty(column, "a team has only a quota");
        }
        check_duplicate(team_rows_, number, team.name, cells);
        document_.rows.teams.push_back(team);
    }

    void read_plan_row(std::size_t number, row_type type, cell_reader& cells) {
        plan_row row;
        row.type = type;
        row.name = cells.name(sheet_column::name);
        row.team = cells.name(sheet_column::team);
        row.need.cpu_millicores = cells.thousandths(sheet_column::cpus, max_row_cpus, false);
        row.need.memory_mb = cells.thousandths(sheet_column::memory_gb, max_row_memory_gb, false);
        row.need.accelerators =
            cells.is_empty(sheet_column::accelerators)
                ? 0
                : cells.whole_number(sheet_column::accelerators, 0, max_row_accelerators);
        if (!cells.is_empty(sheet_column::priority)) {
            row.priority = cells.one_of(sheet_column::priority, task_priority_names)
                               .value_or(task_priority::normal);
        }
        row.payload = cells.text(sheet_column::payload);
        if (type == row_type::batch) {
            read_batch(row, cells);
        } else {
            read_standing(row, cells);
        }
        check_duplicate(plan_rows_, number, row.name, cells);
        team_references_.push_back({number, row.team});
        document_.rows.rows.push_back(std::move(row));
    }

    static void read_batch(plan_row& row, cell_reader& cells) {
        row.kind = cells.one_of(sheet_column::kind, batch_kind_names).value_or(row.kind);
        row.idempotent = cells.yes_or_no(sheet_column::idempotent);
        row.run_time =
            std::chrono::seconds(cells.whole_number(sheet_column::run_time_s, 1, max_run_time_s));
        const std::optional<recurrence> repeats =
            cells.one_of(sheet_column::repeats, batch_recurrence_names);
        if (!repeats) {
            return; // The rules for the time columns depend on `repeats`.
        }
        row.repeats = *repeats;
        if (row.repeats == recurrence::monthly) {
            row.day_of_month =
                static_cast<std::uint32_t>(cells.whole_number(sheet_column::day_of_month, 1, 31));
        } else {
            cells.require_empty(sheet_column::day_of_month, "only monthly rows have a day");
        }
        if (row.repeats == recurrence::once) {
            cells.require_empty(sheet_column::time, "a once row runs when it is accepted");
            if (!cells.is_empty(sheet_column::time_zone)) {
                row.time_zone = cells.time_zone(sheet_column::time_zone);
            }
        } else {
            row.minute_of_day = cells.minute_of_day(sheet_column::time);
            row.time_zone = cells.time_zone(sheet_column::time_zone);
        }
    }

    /// Reads the columns of services and watch tasks, which run permanently.
    static void read_standing(plan_row& row, cell_reader& cells) {
        row.repeats = recurrence::standing;
        const std::string repeats = cell_reader::lower_case(cells.text(sheet_column::repeats));
        if (!repeats.empty() && repeats != name_of(recurrence_names, recurrence::standing)) {
            cells.add_error(sheet_column::repeats, "must be standing or empty");
        }
        for (const sheet_column column : {sheet_column::day_of_month, sheet_column::time,
                                          sheet_column::time_zone, sheet_column::run_time_s}) {
            cells.require_empty(column, "only batch rows have times");
        }
        if (row.type == row_type::service) {
            cells.require_empty(sheet_column::kind, "a service has no kind");
            row.idempotent = !cells.is_empty(sheet_column::idempotent) &&
                             cells.yes_or_no(sheet_column::idempotent);
            return;
        }
        row.kind = task_kind::watch;
        row.idempotent = cells.yes_or_no(sheet_column::idempotent);
        const std::string kind = cell_reader::lower_case(cells.text(sheet_column::kind));
        if (!kind.empty() && kind != name_of(task_kind_names, task_kind::watch)) {
            cells.add_error(sheet_column::kind, "must be watch or empty");
        }
    }

    /// Checks that each team that a row refers to has a row of its own.
    void check_teams() {
        for (const team_reference& reference : team_references_) {
            if (!reference.team.empty() && team_rows_.find(reference.team) == team_rows_.end()) {
                errors_.push_back({reference.row, "team", reference.team,
                                   "must be the name of a row of type team in this sheet"});
            }
        }
    }

    sheet_document document_;
    std::vector<sheet_error> errors_;
    column_positions positions_;
    std::size_t header_width_{0};
    std::map<std::string, std::size_t> plan_rows_;
    std::map<std::string, std::size_t> team_rows_;
    std::vector<team_reference> team_references_;
};

} // namespace

std::string to_string(const sheet_error& error) {
    std::string place = error.row == 0 ? "sheet" : "row " + std::to_string(error.row);
    if (!error.column.empty()) {
        place += ", column " + error.column;
        place += ", value \"" + error.value + "\"";
    }
    return place + ": " + error.message;
}

std::variant<sheet_document, std::vector<sheet_error>> read_sheet(std::string_view text) {
    if (text.size() > max_sheet_bytes) {
        return std::vector<sheet_error>{
            {0, "", "", "must be at most " + std::to_string(max_sheet_bytes) + " bytes"}};
    }
    // The spreadsheet format "Unicode text" is UTF-16, in which ASCII characters have a zero byte.
    if (text.find('\0') != std::string_view::npos) {
        return std::vector<sheet_error>{{0, "", "", "must be CSV in UTF-8"}};
    }
    sheet_parser parser;
    parser.parse(parse_csv(text));
    std::vector<sheet_error> errors = parser.take_errors();
    if (!errors.empty()) {
        return errors;
    }
    return parser.take_document();
}

} // namespace egretstile
