#ifndef CAMPHOR_TESTS_TEXT_STATE_H
#define CAMPHOR_TESTS_TEXT_STATE_H

#include <cstring>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "state_internal.h"

// Records and rows as lines of text: NAME field=value ... Fields that are zero
// are left out. Slots are written as worker:mask,worker:mask.
namespace text_state {

inline std::string
field_text(const wire_field &field, const unsigned char *base)
{
	const unsigned char *at = base + field.offset;
	std::ostringstream out;

	switch (field.type) {
	case WIRE_UINT:
		if (uint64_t value = wire_uint_get(at, field.bytes))
			out << value;
		break;
	case WIRE_INT:
		if (int64_t value = (int64_t)wire_uint_get(at, field.bytes))
			out << value;
		break;
	case WIRE_TEXT:
		out << (const char *)at;
		break;
	case WIRE_IDS:
		for (uint32_t i = 0; i < wire_count(&field, base); i++)
			if (uint64_t id = ((const uint64_t *)at)[i])
				out << (i ? "," : "") << id;
		break;
	case WIRE_SLOTS:
		for (uint32_t i = 0; i < wire_count(&field, base); i++) {
			const bd_slot &slot = ((const bd_slot *)at)[i];
			out << (i ? "," : "") << slot.worker << ":" << std::hex
			    << slot.accel_mask << std::dec;
		}
		break;
	case WIRE_BYTES:
		break; // key material
	case WIRE_BLOB:
		at = *(const unsigned char *const *)at;
		// fall through
	case WIRE_TAIL:
		if (uint32_t bytes = wire_count(&field, base))
			out << "<" << bytes << " bytes "
			    << cw_hash(at, bytes, 0) << ">";
		break;
	}
	return out.str();
}

inline std::string
to_text(const wire_schema *schema, const void *base)
{
	std::string line = schema->name;

	for (uint32_t i = 0; i < schema->field_count; i++) {
		const wire_field &field = schema->fields[i];
		std::string text =
		    field_text(field, (const unsigned char *)base);
		if (!text.empty())
			line += std::string(" ") + field.name + "=" + text;
	}
	return line;
}

// All tables that follow from the log, one row a line, in the order of ids.
inline std::string
tables_text(const bd_board *board)
{
	std::string out;

	bd_read_begin();
	for (uint32_t i = 0; const wire_schema *schema = wire_schema_row_at(i);
	     i++) {
		std::map<uint64_t, std::string> lines;
		uint32_t cursor = 0;
		while (const void *row =
			   bd_next(board, (enum bd_table_number)schema->table,
			       &cursor, nullptr)) {
			uint64_t id = schema->table == BD_TABLE_config
			    ? 1
			    : *(const uint64_t *)row;
			lines[id] = to_text(schema, row);
		}
		for (auto &line : lines)
			out += line.second + "\n";
	}
	bd_read_end();
	return out;
}

// Reads one field of a record. Texts of BLOB fields are kept in blobs.
inline bool
parse_field(const wire_field &field, unsigned char *base,
    const std::string &value, std::vector<std::string> *blobs)
{
	unsigned char *at = base + field.offset;
	std::istringstream in(value);
	std::string part;
	uint32_t count = 0;
	const char *data;

	switch (field.type) {
	case WIRE_UINT:
		wire_uint_set(at, field.bytes, std::stoull(value));
		return true;
	case WIRE_INT:
		wire_uint_set(at, field.bytes, (uint64_t)std::stoll(value));
		return true;
	case WIRE_TEXT:
		return cw_name_copy((char *)at, field.bytes, value.c_str()) ==
		    CW_OK;
	case WIRE_SLOTS:
		for (; std::getline(in, part, ','); count++) {
			bd_slot &slot = ((bd_slot *)at)[count];
			size_t colon = part.find(':');
			slot.worker = std::stoull(part.substr(0, colon));
			slot.accel_mask = (uint32_t)std::stoul(
			    part.substr(colon + 1), nullptr, 16);
		}
		wire_uint_set(
		    base + field.count_offset, field.count_bytes, count);
		return true;
	case WIRE_BLOB:
		blobs->push_back(value);
		data = blobs->back().data();
		memcpy(at, &data, sizeof(data));
		wire_uint_set(base + field.count_offset, field.count_bytes,
		    blobs->back().size());
		return true;
	default:
		return false;
	}
}

// Reads "kind field=value ..." into a record. Returns what is wrong, or "".
inline std::string
parse_record(
    const std::string &line, struct rec *rec, std::vector<std::string> *blobs)
{
	std::istringstream in(line);
	std::string word;
	const wire_schema *schema = nullptr;

	*rec = {};
	rec->version = REC_VERSION;
	in >> word;
	for (uint32_t kind = 1; (schema = wire_schema_of_kind(kind)); kind++)
		if (word == schema->name)
			break;
	if (schema == nullptr)
		return "no kind of record \"" + word + "\"";
	rec->kind = schema->number;
	while (in >> word) {
		size_t equals = word.find('=');
		std::string name = word.substr(0, equals);
		bool known = false;
		for (uint32_t i = 0; i < schema->field_count; i++)
			if (name == schema->fields[i].name)
				known = parse_field(schema->fields[i],
				    (unsigned char *)&rec->body,
				    word.substr(equals + 1), blobs);
		if (!known)
			return "field \"" + name + "\" of " + schema->name;
	}
	return "";
}

} // namespace text_state

#endif
