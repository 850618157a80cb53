#ifndef CAMPHOR_TESTS_FLOW_FIXTURE_H
#define CAMPHOR_TESTS_FLOW_FIXTURE_H

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <string>
#include <vector>

#include "../lib/flow/flow_internal.h"

/* A board with workers, one queue and jobs, without a store or a network. */
struct FlowFixture {
	struct bd_board *board = nullptr;
	struct fw_settings settings = {};
	struct bd_queue queue = {};
	uint64_t log_end = 0;

	FlowFixture()
	{
		bd_board_create(&board);
		settings.lease_ms = 6000;
		settings.stop_timeout_ms = 200;
		settings.restore_ms = 600;
		settings.gang_timeout_ms = 3000;
		settings.reclaim_ms = 2700;
		settings.ack_timeout_ms = 5000;
		settings.cancel_ms = 3000;
		settings.remote_factor = 3;
		settings.retention_ms = 120000;
		settings.join_ttl_ms = 1500;
		settings.heartbeat_ms = 1500;
		settings.record_bytes = FW_RECORD_BYTES_MAX;
		settings.request_bytes = 2097152;
		queue.id = 7;
		queue.pool = cw_id_from_name("pool");
		queue.priority = 1;
		queue.attempts_max = 2;
		queue.stretch_milli = 3000;
		queue.target_ms = 1500;
	}

	~FlowFixture()
	{
		bd_board_destroy(board);
	}

	uint64_t
	add_host(const std::string &name, const std::string &rack,
	    uint32_t accels = 8)
	{
		struct bd_host row;

		memset(&row, 0, sizeof(row));
		row.id = cw_id_from_name(name.c_str());
		row.pool = queue.pool;
		row.incarnation_ms = 1;
		row.clock_ms = 1000;
		row.heard_ms = 1;
		row.cores_milli = 128000;
		row.memory_mb = 524288;
		row.accels = accels;
		strcpy(row.name, name.c_str());
		strcpy(row.address, ("10.0.0.1:" + name).c_str());
		strcpy(row.kind, "a");
		strcpy(row.rack, rack.c_str());
		bd_put(board, BD_TABLE_host, BD_WRITER_FLOW, row.id, &row,
		    sizeof(row), nullptr);
		return row.id;
	}

	/* Puts a configuration with these queues and clients into force. */
	void
	put_setup(const std::vector<struct bd_queue> &queues,
	    const std::vector<struct bd_client> &clients = {})
	{
		std::vector<uint64_t> bytes(sizeof(struct bd_setup) / 8 +
		    queues.size() * sizeof(struct bd_queue) / 8 +
		    clients.size() * sizeof(struct bd_client) / 8);
		struct bd_setup *setup = (struct bd_setup *)bytes.data();

		setup->version = 1;
		setup->queue_count = (uint32_t)queues.size();
		setup->client_count = (uint32_t)clients.size();
		std::copy(queues.begin(), queues.end(), fw_setup_queues(setup));
		std::copy(
		    clients.begin(), clients.end(), fw_setup_clients(setup));
		fw_setup_sort(setup);
		bd_put(board, BD_TABLE_setup, BD_WRITER_FLOW, BD_CONFIG_ID,
		    setup, fw_setup_bytes(setup), nullptr);
	}

	static struct bd_flow_step
	make_step(uint32_t count, uint32_t accels, uint32_t flags = 0)
	{
		struct bd_flow_step row;

		memset(&row, 0, sizeof(row));
		row.count = count;
		row.accels = accels;
		row.cores_milli = 1000;
		row.memory_mb = 1000;
		row.estimate_ms = 1000;
		row.flags = flags;
		return row;
	}

	/* Applies the job record that a VM writes when it accepts a job.
	 * Returns FW_EBADJOB for an invalid job. */
	int
	submit(const char *name, const std::vector<struct bd_flow_step> &steps,
	    int64_t accepted_ms = 1000)
	{
		struct fw_job_spec spec = {};
		struct fw_record record = {};
		struct bd_flow *flow;
		size_t bytes;
		void *value;
		int code;

		spec.name = name;
		spec.queue = &queue;
		spec.client = 9;
		spec.accepted_ms = accepted_ms;
		spec.occurrences = 1;
		spec.steps = steps.data();
		spec.step_count = (uint32_t)steps.size();
		spec.text = "text";
		spec.text_bytes = 4;
		code = fw_flow_build(&spec, &flow, &bytes);
		if (code != CW_OK)
			return code;
		fw_job_encode(flow, &value, &bytes);
		free(flow);
		fw_record_key(record.key, FW_RECORD_JOB, name);
		record.value = value;
		record.value_bytes = bytes;
		code = apply(record);
		free(value);
		return code;
	}

	/* Applies a record at the next offset of the log. */
	int
	apply(struct fw_record &record)
	{
		record.offset = log_end++;
		return fw_record_apply(board, &record);
	}

	/* Applies progress records for all jobs that a decision has changed. */
	void
	store_changed_jobs(struct fw_view *view)
	{
		for (uint32_t i = 0; i < view->job_count; i++)
			if (view->jobs[i].copy != nullptr)
				store_progress(view->jobs[i].copy);
	}

	void
	store_progress(const struct bd_flow *flow)
	{
		struct fw_record record = {};
		void *value;
		size_t bytes;

		fw_progress_encode(flow, FW_RECORD_BYTES_MAX, &value, &bytes);
		fw_record_key(record.key, FW_RECORD_PROGRESS, flow->name);
		record.value = value;
		record.value_bytes = bytes;
		apply(record);
		free(value);
	}

	/* Applies a state record, which publishes the job's current state to
	 * clients. */
	void
	publish_state(const char *name)
	{
		struct fw_record record = {};
		void *value;
		size_t bytes;

		bd_read_begin();
		fw_state_encode(find_flow(name), &value, &bytes);
		bd_read_end();
		fw_record_key(record.key, FW_RECORD_STATE, name);
		record.value = value;
		record.value_bytes = bytes;
		apply(record);
		free(value);
	}

	uint32_t
	published_state(const char *name)
	{
		uint32_t state;

		bd_read_begin();
		state = fw_flow_public_state(find_flow(name));
		bd_read_end();
		return state;
	}

	void
	cancel(const char *name)
	{
		struct fw_record record = {};

		fw_record_key(record.key, FW_RECORD_CANCEL, name);
		record.value = "1";
		record.value_bytes = 1;
		apply(record);
	}

	const struct bd_flow *
	find_flow(const char *name)
	{
		uint64_t id;

		fw_flow_id_parse(name, &id);
		return bd_flow_lookup(board, id);
	}

	/* Returns a copy of the row of a task. */
	struct bd_step_task
	task(const char *name, uint32_t index)
	{
		bd_read_begin();
		struct bd_step_task row = fw_flow_tasks(find_flow(name))[index];
		bd_read_end();
		return row;
	}

	/* Places all groups that are ready and applies the resulting progress.
	 * Returns the number of groups placed. */
	uint32_t
	place_ready(int64_t wall_ms = 2000)
	{
		struct fw_groups groups;
		struct fw_view view;
		uint32_t placed;

		bd_read_begin();
		fw_view_build(&view, board, &settings, 5000, wall_ms);
		fw_groups_ready(&groups, &view);
		fw_groups_sort(&groups);
		placed = fw_place(&view, &groups, nullptr, nullptr);
		fw_groups_free(&groups);
		store_changed_jobs(&view);
		fw_view_free(&view);
		bd_read_end();
		return placed;
	}

	/* Ends the current run of a task and applies the resulting progress. */
	void
	end_run(const char *name, uint32_t index, enum fw_end outcome,
	    const char *checkpoint = "")
	{
		const struct bd_flow *row;
		struct bd_flow *copy;

		bd_read_begin();
		row = find_flow(name);
		copy = (struct bd_flow *)malloc(fw_flow_bytes(row));
		memcpy(copy, row, fw_flow_bytes(row));
		bd_read_end();
		EXPECT_EQ(CW_OK,
		    fw_checkpoint_note(&copy, index, checkpoint,
			(uint32_t)strlen(checkpoint)));
		fw_run_end_apply(copy, index, outcome, 3000);
		store_progress(copy);
		free(copy);
	}
};

#endif
