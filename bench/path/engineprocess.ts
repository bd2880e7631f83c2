import { FakeEngine } from '../../standin/index.js';

/** Options of the stand-in engine, as the process's JSON argument. */
interface Options {
  readonly tokenMs: number;
  readonly tokens: number;
}

const options = JSON.parse(process.argv[2] ?? '{}') as Options;
const engine = new FakeEngine({ ...options, maxRunning: 256 });
console.log(JSON.stringify({ url: await engine.listen() }));
