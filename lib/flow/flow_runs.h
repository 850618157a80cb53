#ifndef CAMPHOR_FLOW_RUNS_H
#define CAMPHOR_FLOW_RUNS_H

/* Included by flow_internal.h only. */

#ifdef __cplusplus
extern "C" {
#endif

/* Lease arithmetic on a worker's clock. */
int64_t fw_lease_max_ms(uint32_t lease_ms);
int64_t fw_worker_state_lease_until(
    const struct fw_worker_state *worker, int64_t now_ms, uint32_t lease_ms);
void fw_worker_state_set_clock(
    struct fw_worker_state *worker, int64_t clock_ms, int64_t now_ms);
void fw_worker_state_lease_granted(
    struct fw_worker_state *worker, int64_t until_ms);
void fw_worker_state_lease_answered(const struct fw_tables *tables,
    struct fw_worker_state *worker, int64_t until_ms,
    const struct fw_report *report);
void fw_worker_state_reborn(const struct fw_tables *tables,
    struct fw_worker_state *worker, int64_t now_ms);
bool fw_former_ack_may_arrive(
    const struct fw_worker_state *worker, int64_t now_ms);
void fw_worker_state_expect_late_grant(
    const struct fw_tables *tables, struct fw_worker_state *worker);
bool fw_worker_state_entry_outdated(const struct fw_worker_state *worker);
bool fw_worker_state_entry_written(
    const struct fw_worker_state *worker, int64_t *written_ms);

/* Whose address the entry of a worker names. */
void fw_address_update(struct fw_worker_state *worker, const char *name,
    const char *address, int64_t now_ms);
bool fw_address_answered(
    struct fw_worker_state *worker, const struct fw_report *report);
void fw_address_expect(
    struct fw_worker_state *worker, uint64_t address_id, int64_t now_ms);
void fw_addresses_find_taken(struct fw_tables *tables);
bool fw_address_taken_over(
    const struct fw_worker_state *worker, const struct fw_run *run);

/* Rows of a worker's lists that could not be read. */
bool fw_report_may_hide(
    const struct fw_report *report, const struct fw_task_ref *task);
bool fw_run_is_hidden(const struct fw_run *run, const struct fw_report *report);
void fw_run_note_hidden(struct fw_run *run, int64_t now_ms);
bool fw_run_is_asked_for(const struct fw_run *run, int64_t now_ms);
uint64_t fw_report_last_number(const struct fw_report *report);
bool fw_report_is_before(
    const struct fw_report *report, uint32_t index, uint64_t last);

/* Applies the latest report of a worker to its runs. */
void fw_report_apply(struct fw_tables *tables, const struct bd_board *board,
    uint32_t handle, int64_t now_ms);
bool fw_worker_renews(const struct fw_tables *tables, uint32_t handle);

/* The ends of leases that placers store for their successors. */
int64_t fw_lease_record_left_ms(const struct fw_record *record);
bool fw_lease_end_is_noted(
    const struct bd_board *board, const struct fw_worker_state *worker);
bool fw_lapse_is_certain(const struct fw_tables *tables,
    const struct fw_worker_state *worker, int64_t now_ms);
bool fw_ends_become_void(const struct fw_tables *tables,
    const struct fw_worker_state *worker, int64_t now_ms);
bool fw_ends_need_lapse(const struct fw_worker_state *worker);
void fw_void_end_note(struct fw_worker_state *worker, const struct fw_run *run,
    const struct fw_listed_end *end);
void fw_void_ends_find(const struct fw_tables *tables,
    struct fw_worker_state *worker, int64_t now_ms);
bool fw_worker_state_clock_is_back(
    const struct fw_worker_state *worker, const struct fw_report *report);
int64_t fw_worker_state_latest_ms(const struct fw_worker_state *worker);
bool fw_worker_list_is_current(const struct fw_worker_state *worker);
bool fw_run_has_unknown_start(const struct fw_run *run);
bool fw_run_may_arrive(const struct fw_run *run, int64_t now_ms);
bool fw_run_holds_task(
    const struct fw_tables *tables, const struct fw_run *run, int64_t now_ms);
bool fw_run_is_refused(
    const struct fw_tables *tables, const struct fw_run *run);
enum fw_binding fw_task_binding(const struct fw_tables *tables, uint64_t flow,
    uint32_t index, int64_t now_ms, uint32_t *run);
bool fw_step_may_run_twice(const struct bd_flow *flow, uint32_t step);
bool fw_start_is_alone(
    const struct fw_tables *tables, const struct fw_run *run, int64_t now_ms);
bool fw_run_is_current(const struct bd_board *board, const struct fw_run *run);
bool fw_run_is_pending_late(const struct fw_run *run);
const struct bd_flow *fw_task_lookup(const struct bd_board *board,
    const struct fw_task_ref *ref, uint32_t *index);
bool fw_flow_has_runs(
    const struct fw_tables *tables, const struct bd_flow *flow);
bool fw_listed_unwanted(const struct fw_tables *tables,
    const struct bd_board *board, uint32_t worker,
    const struct fw_listed_run *listed, int64_t now_ms);

/* Logs what workers report that does not agree with the placer's runs. */
void fw_audit_report(
    struct fw_tables *tables, const struct bd_board *board, uint32_t handle);
void fw_audit_entry(struct fw_tables *tables, const struct bd_board *board,
    uint32_t handle, const struct bd_host *row);

#ifdef __cplusplus
}
#endif

#endif
