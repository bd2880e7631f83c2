import { table } from './table.js';

const [name = '', ...args] = process.argv.slice(2);
const load = table[name];
if (!load) {
  console.error(`Benchmarks: ${Object.keys(table).join(', ')}`);
  process.exit(2);
}
const bench = await load();
console.log(JSON.stringify(await bench(args), null, 2));
process.exit(0);
