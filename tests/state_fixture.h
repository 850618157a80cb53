#ifndef CAMPHOR_TESTS_STATE_WORLD_H
#define CAMPHOR_TESTS_STATE_WORLD_H

#include <gtest/gtest.h>

#include <cstring>
#include <deque>
#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "state_internal.h"

// Records and rows as lines of text: NAME field=value ... Fields that are zero
// are left out. A value is a number, #name (the id of a name), $label (the
// position of a labelled record), %account/number/copy (a promise) or @ (the
// present epoch or token of the row that the record is about). Slots are
// id:mask,id:mask with masks in hexadecimal; text=file reads a text.
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

// One VM's tables, with the words by which texts name ids.
struct World {
	World()
	{
		EXPECT_EQ(bd_board_create(&board), CW_OK);
		EXPECT_EQ(st_create(&state, board), CW_OK);
	}
	~World()
	{
		st_destroy(state);
		bd_board_destroy(board);
	}
	World(const World &) = delete;
	World &operator=(const World &) = delete;

	uint64_t
	number(const std::string &word)
	{
		if (word[0] == '#')
			return remember(
			    cw_id_from_name(word.c_str() + 1), word);
		if (word[0] == '$')
			return labels.at(word.substr(1));
		if (word[0] == '%') {
			size_t slash = word.find('/');
			uint64_t copy = 0,
				 at = std::stoull(
				     word.substr(slash + 1), (size_t *)&copy);
			copy = std::stoull(word.substr(slash + 2 + copy));
			return remember(
			    cw_id_from_pair(
				cw_id_from_name(
				    word.substr(1, slash - 1).c_str()),
				at << 16 | copy),
			    word);
		}
		return std::stoull(word);
	}
	uint64_t
	remember(uint64_t id, const std::string &word)
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
		uint32_t count = wire_count(&field, base);

		if (field.type == WIRE_UINT && wire_uint_get(at, field.bytes))
			out << name(wire_uint_get(at, field.bytes));
		else if (field.type == WIRE_INT && wire_uint_get(at, 8))
			out << (int64_t)wire_uint_get(at, 8);
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
		else if (field.type == WIRE_BLOB || field.type == WIRE_TAIL) {
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
	// Rows of the named tables, or of all, in the order of ids.
	std::string
	tables_text(const std::string &wanted = "") const
	{
		std::string out;

		bd_read_begin();
		for (uint32_t i = 0;
		     const wire_schema *schema = wire_schema_row_at(i); i++) {
			std::map<uint64_t, std::string> lines;
			uint32_t cursor = 0;
			if (!wanted.empty() &&
			    wanted.find(schema->name) == std::string::npos)
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

	// Present epoch, or token, of the row that a record is about.
	uint64_t
	present(const struct rec &rec, bool token)
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
			    number(part.substr(0, colon)),
			    (uint32_t)std::stoul(
				part.substr(colon + 1), nullptr, 16),
			    0};
		}
		wire_uint_set(
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
			wire_uint_set(at, field.bytes,
			    value == "@"
				? present(
				      *rec, std::string(field.name) == "token")
				: number(value));
			return true;
		case WIRE_INT:
			wire_uint_set(at, 8, (uint64_t)std::stoll(value));
			return true;
		case WIRE_TEXT:
			return cw_name_copy((char *)at, field.bytes,
				   value.c_str()) == CW_OK;
		case WIRE_SLOTS:
			parse_slots(field, base, value);
			return true;
		case WIRE_BLOB:
			texts.push_back(field.name == std::string("text")
				? read_file(golden_path(value))
				: value);
			data = texts.back().data();
			memcpy(at, &data, sizeof(data));
			wire_uint_set(base + field.count_offset,
			    field.count_bytes, texts.back().size());
			return true;
		default:
			return false;
		}
	}
	// Reads a line into a record; label= and time= belong to no field.
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
			ADD_FAILURE() << "no kind of record: " << line;
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
					labels[value] = next;
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
	// Applies a line at the next position, which counts from 1.
	int
	apply(const std::string &line)
	{
		struct rec rec = parse(line);
		return st_apply(state, &rec, next++);
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
	uint64_t next = 1;
	uint64_t sequence = 0;
	int64_t time_ms = 0;
	std::map<uint64_t, std::string> names;
	std::map<std::string, uint64_t> labels;
	std::deque<std::string> texts;
};

#endif
