import test from 'ava';
import { setTimeout as wait } from 'node:timers/promises';
import { systemClock } from '../src/base/index.js';
import { HttpEngine } from '../src/shell/engine/index.js';
import { FakeEngine, MemoryStore, seededFaults } from '../standin/index.js';
import { ResidencyBed } from './support/residencybed.js';

const CAPACITY = { memoryBytes: 100, kvCacheBytes: 10, kvCacheBytesPerToken: 0, unloadMs: 5 };

async function until(holds: () => boolean): Promise<void> {
  for (let tries = 0; tries < 1000 && !holds(); tries += 1) await wait(10);
}

for (const checksFencing of [true, false]) {
  const kind = checksFencing ? 'checks' : 'ignores';

  test(`orders lost, late and doubled on the way to an engine that ${kind} fences`, async (t) => {
    const orderFaults = seededFaults(5, { delay: 0.3, loss: 0.2, crash: 0.1 });
    const fake = new FakeEngine({ ...CAPACITY, checksFencing, orderFaults });
    const engine = new HttpEngine(await fake.listen(), 4);
    const bed = new ResidencyBed(new MemoryStore(), checksFencing, { engine, clock: systemClock });
    await until(() => bed.record().incarnation === 1 && bed.residency.freeBytes() > 0);
    for (const [epoch, models] of [['a', 'c'], ['b', 'c'], ['a']].entries()) {
      bed.plan(models, [], epoch + 1);
      await until(() => models.every((model) => bed.ready().includes(model)));
      t.true(
        models.every((model) => bed.ready().includes(model)),
        models.join(' '),
      );
    }
    t.is(fake.counts.overcommits, 0);
    bed.end();
    await engine.close();
    fake.close();
  });
}
