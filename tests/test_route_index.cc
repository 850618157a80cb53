#include <gtest/gtest.h>

#include <atomic>
#include <thread>

#include "route_fixture.h"

/* Guards against a write behind the array of leaving VMs when VMs are listed
 * while the index is built. */
TEST(RouteIndex, VmsThatAreAddedMeanwhileFit)
{
	RouteFixture fx;
	std::atomic<bool> ended{false};
	std::atomic<bool> scanned{false};
	std::thread writer([&] {
		while (!scanned)
			std::this_thread::yield();
		for (int round = 0; round < 5; round++) {
			bd_clear(fx.board, BD_TABLE_vm, BD_WRITER_VM_LIST);
			for (int i = 0; i < 8000; i++) {
				struct bd_vm row = {};

				snprintf(row.address, sizeof(row.address),
				    "10.0.0.1:%d", i);
				row.id = cw_id_from_name(row.address);
				row.kind = BD_VM_UPSTREAM;
				row.state = BD_VM_LEAVING;
				fx.put(BD_TABLE_vm, BD_WRITER_VM_LIST, row);
			}
		}
		ended = true;
	});

	while (!ended) {
		fx.step();
		scanned = true;
	}
	writer.join();
}
