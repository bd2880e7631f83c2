import test from 'ava';
import { MemoryStore } from '../standin/index.js';
import { absentStore } from '../src/shell/store/index.js';
import { Hosts, inForce, writeDocument } from './support/meshnode.js';

test('documents are replicated to entries and their own sidecars only, upstream records to entries', async (t) => {
  const store = new MemoryStore();
  const hosts = new Hosts();
  const entries = await Promise.all(['a', 'b', 'c', 'd'].map((id) => hosts.start(id, store)));
  const own = ['document/redactor', 'upstream/redactor/r-1'];
  const sidecar = await hosts.start('r-1', absentStore, own);
  const unrelated = await hosts.start('p-1', absentStore, ['document/padron']);
  const nodes = [...entries, sidecar];
  const groups = [{ upstreams: [{ id: 'r-1', sidecarAddress: sidecar.address }] }];
  const revision = await writeDocument(store, 'redactor', { region: 'cantabrico', groups });
  await Promise.all(nodes.map(({ board }) => inForce(board, 'redactor', revision)));
  await writeDocument(store, 'asistent', { region: 'bucuresti', groups: [] });
  const later = await writeDocument(store, 'redactor', { region: 'cantabrico', groups });
  await Promise.all(nodes.map(({ board }) => inForce(board, 'redactor', later)));
  t.deepEqual(
    entries.map(({ board }) => Number(board.revision('asistent'))),
    [0, 0, 0, 0],
  );
  t.deepEqual(
    entries[0]?.board.list('document/').map(({ key }) => key),
    ['document/redactor'],
  );
  t.is(unrelated.board.get('document/redactor'), undefined);
  const key = 'upstream/redactor/r-1';
  const received = entries.map(
    ({ board }) =>
      new Promise<void>((resolve) => {
        board.onChange(key, () => resolve());
      }),
  );
  sidecar.board.publish({ key, epoch: 1, sequence: 1, value: Buffer.from('ready') });
  await Promise.all(received);
  t.is(entries[3]?.board.get(key)?.value.toString(), 'ready');
  for (const node of [...nodes, unrelated]) node.close();
});
