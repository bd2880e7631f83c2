import { MemoryStore } from './memorystore.js';
import { StoreServer } from './storeserver.js';

/** Where etcd listens by default. */
const DEFAULT_PORT = 2379;

// Runs the stand-in store as a process, to try out the operator commands:
// `node dist/standin/store/main.js [PORT] [SHARE OF ANSWERS TO LOSE]`. SIGUSR2 starts or ends an outage.
const [port = DEFAULT_PORT, lostShare = 0] = process.argv.slice(2).map(Number);
const store = new MemoryStore({ faults: { lostAnswerShare: lostShare } });
process.on('SIGUSR2', () => {
  store.faults.down = !store.faults.down;
  console.log(JSON.stringify({ outage: store.faults.down }));
});
const url = await new StoreServer(store).listen(port);
console.log(JSON.stringify({ url, pid: process.pid }));
