#include <gtest/gtest.h>

#include "fake_log.h"
#include "state_world.h"

namespace {

const char *const history[] = {
    "worker id=#w1 name=w1 rack=#r cores_milli=64000 memory_mb=65536 accels=8",
    "worker id=#w2 name=w2 rack=#r cores_milli=64000 memory_mb=65536 accels=8",
    "config base_version=0 author=ann text=one.toml",
    "plan promise=%a/0/0 epoch=@ slots=#w1:f,#w2:f",
    ("job_submit label=j account=#a submit_key=k shape.members=2 "
     "shape.accels=4 shape.cores_milli=8000"),
    "place job=$j epoch=@ promise=%a/0/0 members=#w1:f,#w2:f",
    "job_submit label=k account=#b shape.members=1 shape.accels=4",
    "place job=$k epoch=@ members=#w2:f0",
    "req_intent id=7 request_id=70 account=#a",
    "req_outcome id=7 request_id=70 http_status=200 answer=whole",
    "duty duty=1 owner=9",
    "quarantine worker=#w1 epoch=@ until_ms=99",
};
// Records whose outcome depends on the indexes that an image does not hold.
const struct {
	const char *line;
	int code;
} after[] = {
    {"job_submit account=#a submit_key=k shape.members=2 shape.accels=4 "
     "shape.cores_milli=8000",
	ST_EREPEATED},
    {"plan promise=%a/0/0 epoch=@", ST_EREJECTED},
    {"quarantine worker=#w2 epoch=@ until_ms=9", ST_EREJECTED},
    {"gang_ended job=$j token=@ outcome=0", CW_OK},
    {"plan promise=%a/0/0 epoch=@", CW_OK},
    {"req_expire before_ms=900000000", CW_OK},
};

void
build(World *world)
{
	for (const char *line : history)
		ASSERT_EQ(world->apply(line), CW_OK) << line;
}

std::string
image_of(const World &world)
{
	void *data;
	size_t bytes;

	EXPECT_EQ(st_image_encode(world.state, &data, &bytes), CW_OK);
	std::string image((char *)data, bytes);
	free(data);
	return image;
}

int
load(World *world, const std::string &image)
{
	int code =
	    st_image_load(world->state, image.data(), image.size(), false);

	world->next = st_position(world->state) + 1;
	return code;
}

// Guards against rows or indexes that a snapshot loses: the loaded tables and
// all that is applied to them are those of the writer.
TEST(StateSnapshot, LoadedTablesAndIndexesAreTheWriters)
{
	World writer, reader;

	build(&writer);
	// Rows that the image does not have must go.
	ASSERT_EQ(reader.apply("worker id=5 accels=1"), CW_OK);
	ASSERT_EQ(load(&reader, image_of(writer)), CW_OK);
	EXPECT_EQ(st_digest(reader.state), st_digest(writer.state));
	EXPECT_EQ(st_position(reader.state), st_position(writer.state));
	reader.names = writer.names;
	reader.labels = writer.labels;
	reader.sequence = writer.sequence;
	reader.time_ms = writer.time_ms;
	EXPECT_EQ(reader.tables_text(), writer.tables_text());
	for (auto &step : after) {
		EXPECT_EQ(writer.apply(step.line), step.code) << step.line;
		EXPECT_EQ(reader.apply(step.line), step.code) << step.line;
	}
	EXPECT_EQ(st_digest(reader.state), st_digest(writer.state));
	EXPECT_EQ(load(&reader, image_of(writer)), ST_ESTALE);
}

// Guards against an image that replaces tables although a byte was changed or
// its end is missing.
TEST(StateSnapshot, DamagedImageChangesNothing)
{
	World writer, reader;

	build(&writer);
	ASSERT_EQ(reader.apply("worker id=5 accels=1"), CW_OK);
	std::string image = image_of(writer);
	uint64_t digest = st_digest(reader.state);
	for (size_t i = 0; i < image.size(); i++) {
		std::string damaged = image;
		damaged[i] = (char)(damaged[i] ^ (1 << i % 8));
		EXPECT_EQ(load(&reader, damaged), ST_EMALFORMED) << i;
		EXPECT_EQ(load(&reader, image.substr(0, i)), ST_EMALFORMED)
		    << i;
	}
	EXPECT_EQ(st_digest(reader.state), digest);
	EXPECT_EQ(load(&reader, image), CW_OK);
}

struct Chunked {
	std::string first;  // small image, basis 12
	std::string second; // large image, later basis
	std::vector<std::string> first_chunks, second_chunks;
};

std::vector<std::string>
chunks_of(const std::string &image, uint64_t id)
{
	FakeLog log;
	struct pf_log table = log.log();

	EXPECT_EQ(
	    st_snapshot_write(&table, id, image.data(), image.size()), CW_OK);
	return log.streams["snap"].entries;
}

Chunked
make_images()
{
	World world;
	Chunked chunked;
	std::string answer(REC_ANSWER_BYTES_MAX, 'x');

	build(&world);
	chunked.first = image_of(world);
	for (uint64_t id = 100; id < 105; id++) {
		struct rec rec = world.parse("req_intent account=#a");
		rec.body.req_intent.id = rec.body.req_intent.request_id = id;
		st_apply(world.state, &rec, world.next++);
		rec = world.parse("req_outcome http_status=200");
		rec.body.req_outcome = {
		    id, id, 200, (uint32_t)answer.size(), answer.data()};
		st_apply(world.state, &rec, world.next++);
	}
	chunked.second = image_of(world);
	chunked.first_chunks = chunks_of(chunked.first, 1);
	chunked.second_chunks = chunks_of(chunked.second, 2);
	return chunked;
}

std::string
read_back(std::vector<std::string> entries, uint64_t first = 0)
{
	FakeLog log;
	struct pf_log table = log.log();
	void *data = nullptr;
	size_t bytes = 0;

	log.streams["snap"].entries = entries;
	log.streams["snap"].first = first;
	EXPECT_EQ(st_snapshot_read(&table, &data, &bytes), CW_OK);
	std::string image((char *)data, bytes);
	free(data);
	return image;
}

// Guards against interrupted, damaged, interleaved and expired snapshots in the
// stream, and against an older one that wins because it ended later.
TEST(StateSnapshot, StreamYieldsTheNewestWholeImage)
{
	Chunked c = make_images();
	std::vector<std::string> a = c.first_chunks, b = c.second_chunks;
	std::vector<std::string> mixed;

	ASSERT_EQ(a.size(), 1u);
	ASSERT_GT(b.size(), 5u);
	for (const std::string &chunk : b)
		EXPECT_LE(chunk.size(), (size_t)ST_SNAPSHOT_CHUNK_BYTES);
	EXPECT_EQ(read_back({}), "");
	// interrupted, then missing its start
	mixed = a;
	mixed.insert(mixed.end(), b.begin(), b.end() - 1);
	EXPECT_EQ(read_back(mixed), c.first);
	EXPECT_EQ(read_back(mixed, 1), "");
	// the older one ends later
	mixed.push_back(b.back());
	mixed.push_back(a[0]);
	EXPECT_EQ(read_back(mixed), c.second);
	// a chunk twice, as after a lost answer, and another writer's between
	mixed = b;
	mixed.insert(mixed.begin() + 2, b[1]);
	mixed.insert(mixed.begin() + 3, a[0]);
	EXPECT_EQ(read_back(mixed), c.second);
	// damaged
	mixed = a;
	mixed.insert(mixed.end(), b.begin(), b.end());
	mixed[3][1000] ^= 1;
	EXPECT_EQ(read_back(mixed), c.first);
	// far behind the end of the stream
	mixed = b;
	for (int i = 0; i < 1000; i++)
		mixed.push_back("not a chunk");
	EXPECT_EQ(read_back(mixed), c.second);
}

} // namespace
