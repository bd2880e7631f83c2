import type { Bench } from './bench.js';

/** Every benchmark by its name: `npm run bench -- NAME`. */
export const table: Readonly<Record<string, () => Promise<Bench>>> = {};
