#ifndef CAMPHOR_TESTS_STATE_FIXTURE_H
#define CAMPHOR_TESTS_STATE_FIXTURE_H

#include <gtest/gtest.h>

#include <cstring>
#include <deque>
#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "state_internal.h"

// Text form of records and rows: NAME field=value ... Fields that are zero are
// omitted. A value is a number, #name (the id of a name), $label (the position
// of a labelled record), %account/number/copy (a promise) or @ (the current
// epoch or token of the row that the record changes). Slots are id:mask,id:mask
// with hexadecimal masks; text=FILE takes the contents of a golden file.
inline std::string
read_file(const std::string &path)
{
	std::ifstream in(path);
	std::stringstream out;

	out << in.rdbuf();
	return out.str();
}

inline std::string
golden_path(const std::string &name)
{
	return std::string(TEST_SOURCE_DIR "/tests/golden/state/") + name;
}

// The tables of one VM, and the symbolic names of ids in the text form.
struct StateFixture {
	StateFixture()
	{
		EXPECT_EQ(bd_board_create(&board), CW_OK);
		EXPECT_EQ(st_create(&state, board), CW_OK);
	}
	~StateFixture()
	{
		st_destroy(state);
		bd_board_destroy(board);
	}
	StateFixture(const StateFixture &) = delete;
	StateFixture &operator=(const StateFixture &) = delete;

	uint64_t
	parse_value(const std::string &word)
	{
		if (word[0] == '#')
			return add_name(
			    cw_id_from_name(word.c_str() + 1), word);
		if (word[0] == '$')
			return labels.at(word.substr(1));
		if (word[0] == '%') {
			size_t slash = word.find('/');
			uint64_t copy = 0,
				 at = std::stoull(
				     word.substr(slash + 1), (size_t *)&copy);
			copy = std::stoull(word.substr(slash + 2 + copy));
			return add_name(
			    cw_id_from_pair(
				cw_id_from_name(
				    word.substr(1, slash - 1).c_str()),
				at << 16 | copy),
			    word);
		}
		return std::stoull(word);
	}
	uint64_t
	add_name(uint64_t id, const std::string &word)
	{
		names[id] = word;
		return id;
	}

	std::string
	name(uint64_t value) const
	{
		auto known = names.find(value);
		return known == names.end() ? std::to_string(value)
					    : known->second;
	}

	std::string
	field_text(const wire_field &field, const unsigned char *base) const
	{
		const unsigned char *at = base + field.offset;
		std::ostringstream out;
		uint32_t count = wire_element_count(&field, base);

		if (field.type == WIRE_UINT && wire_uint_load(at, field.bytes))
			out << name(wire_uint_load(at, field.bytes));
		else if (field.type == WIRE_INT && wire_uint_load(at, 8))
			out << (int64_t)wire_uint_load(at, 8);
		else if (field.type == WIRE_TEXT)
			out << (const char *)at;
		else if (field.type == WIRE_IDS)
			for (uint32_t i = 0; i < count; i++) {
				if (uint64_t id = ((const uint64_t *)at)[i])
					out << (i ? "," : "") << name(id);
			}
		else if (field.type == WIRE_SLOTS)
			for (uint32_t i = 0; i < count; i++) {
				const bd_slot &slot = ((const bd_slot *)at)[i];
				out << (i ? "," : "") << name(slot.worker)
				    << ":" << std::hex << slot.accel_mask
				    << std::dec;
			}
		else if (field.type == WIRE_BLOB ||
		    field.type == WIRE_FLEX_ARRAY) {
			if (field.type == WIRE_BLOB)
				at = *(const unsigned char *const *)at;
			if (count)
				out << "<" << count << " bytes "
				    << cw_hash(at, count, 0) << ">";
		}
		return out.str();
	}
	std::string
	to_text(const wire_schema *schema, const void *base) const
	{
		std::string line = schema->name;

		for (uint32_t i = 0; i < schema->field_count; i++) {
			std::string text = field_text(
			    schema->fields[i], (const unsigned char *)base);
			if (!text.empty())
				line += std::string(" ") +
				    schema->fields[i].name + "=" + text;
		}
		return line;
	}
	// Rows of the tables named in `tables`, or of all if it is empty,
	// sorted by id.
	std::string
	tables_text(const std::string &tables = "") const
	{
		std::string out;

		bd_read_begin();
		for (uint32_t i = 0;
		     const wire_schema *schema = wire_schema_table_at(i); i++) {
			std::map<uint64_t, std::string> lines;
			uint32_t cursor = 0;
			if (!tables.empty() &&
			    tables.find(schema->name) == std::string::npos)
				continue;
			while (const void *row = bd_next(board,
				   (enum bd_table_number)schema->table, &cursor,
				   nullptr))
				lines[*(const uint64_t *)row] =
				    to_text(schema, row);
			for (auto &line : lines)
				out += "  " + line.second + "\n";
		}
		bd_read_end();
		return out;
	}

	// Current epoch or token of the row that a record changes.
	uint64_t
	current_fence(const struct rec &rec, bool token)
	{
		uint64_t id = *(const uint64_t *)&rec.body;
		uint64_t value = 0;

		bd_read_begin();
		const bd_job *job = bd_job_lookup(board, id);
		const bd_promise *promise = bd_promise_lookup(board, id);
		const bd_duty *duty = bd_duty_lookup(board, id);
		const bd_worker *worker = bd_worker_lookup(board,
		    rec.kind == REC_WORKER ? rec.body.worker.facts.id : id);
		if (rec.kind == REC_DUTY)
			value = duty ? duty->epoch : 0;
		else if (job)
			value = token ? job->token : job->epoch;
		else if (promise)
			value = promise->epoch;
		else if (worker)
			value = worker->epoch;
		bd_read_end();
		return value;
	}
	void
	parse_slots(const wire_field &field, unsigned char *base,
	    const std::string &value)
	{
		std::istringstream in(value);
		std::string part;
		uint32_t count = 0;

		for (; std::getline(in, part, ','); count++) {
			size_t colon = part.find(':');
			((bd_slot *)(base + field.offset))[count] = {
			    parse_value(part.substr(0, colon)),
			    (uint32_t)std::stoul(
				part.substr(colon + 1), nullptr, 16),
			    0};
		}
		wire_uint_store(
		    base + field.count_offset, field.count_bytes, count);
	}
	bool
	parse_field(
	    const wire_field &field, struct rec *rec, const std::string &value)
	{
		unsigned char *base = (unsigned char *)&rec->body;
		unsigned char *at = base + field.offset;
		const char *data;

		switch (field.type) {
		case WIRE_UINT:
			wire_uint_store(at, field.bytes,
			    value == "@"
				? current_fence(
				      *rec, std::string(field.name) == "token")
				: parse_value(value));
			return true;
		case WIRE_INT:
			wire_uint_store(at, 8, (uint64_t)std::stoll(value));
			return true;
		case WIRE_TEXT:
			return cw_name_copy((char *)at, field.bytes,
				   value.c_str()) == CW_OK;
		case WIRE_SLOTS:
			parse_slots(field, base, value);
			return true;
		case WIRE_BLOB:
			blobs.push_back(field.name == std::string("text")
				? read_file(golden_path(value))
				: value);
			data = blobs.back().data();
			memcpy(at, &data, sizeof(data));
			wire_uint_store(base + field.count_offset,
			    field.count_bytes, blobs.back().size());
			return true;
		default:
			return false;
		}
	}
	// Parses a line into a record. label= and time= are not fields of the
	// body: they name the position and set the time of the record.
	struct rec
	parse(const std::string &line)
	{
		std::istringstream in(line);
		std::string word, label;
		const wire_schema *schema;
		struct rec rec = {};

		in >> word;
		for (uint32_t kind = 1; (schema = wire_schema_of_kind(kind));
		     kind++)
			if (word == schema->name)
				break;
		if (schema == nullptr) {
			ADD_FAILURE() << "unknown record kind: " << line;
			return rec;
		}
		rec.version = REC_VERSION;
		rec.kind = schema->number;
		rec.writer = 1;
		rec.sequence = ++sequence;
		rec.time_ms = time_ms += 1000;
		while (in >> word) {
			size_t equals = word.find('=');
			std::string value = word.substr(equals + 1);
			bool known = false;
			word.resize(equals);
			if (word == "label" || word == "time") {
				if (word == "label")
					labels[value] = next_position;
				else
					rec.time_ms = time_ms =
					    std::stoll(value);
				continue;
			}
			for (uint32_t i = 0; i < schema->field_count; i++)
				if (word == schema->fields[i].name ||
				    "facts." + word == schema->fields[i].name)
					known = parse_field(
					    schema->fields[i], &rec, value);
			EXPECT_TRUE(known) << word << " in " << line;
		}
		return rec;
	}
	// Applies the record of a line at the next position.
	int
	apply(const std::string &line)
	{
		struct rec rec = parse(line);
		return st_apply(state, &rec, next_position++);
	}
	// A worker with 8 accelerators, 32 cores and 64 GB.
	void
	add_worker(const std::string &worker, const std::string &rack = "r1")
	{
		ASSERT_EQ(apply("worker id=#" + worker + " name=" + worker +
			      " rack=#" + rack +
			      " cores_milli=32000 memory_mb=65536 accels=8"),
		    CW_OK);
	}

	struct bd_board *board = nullptr;
	struct st_state *state = nullptr;
	uint64_t next_position = 1;
	uint64_t sequence = 0;
	int64_t time_ms = 0;
	std::map<uint64_t, std::string> names;
	std::map<std::string, uint64_t> labels;
	std::deque<std::string> blobs;
};

#endif
