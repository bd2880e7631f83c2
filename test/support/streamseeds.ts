/** For a longer run: STREAM_SEEDS=100 npx ava --timeout=20m dist/test/streamworld.test.js. */
export const streamSeeds = Number(process.env.STREAM_SEEDS ?? 2);
