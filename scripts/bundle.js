// Bundles the entry into one file, so that a start reads one file instead of hundreds. In one file platform/run.ts needs
// no platform/main.ts before it: its first module, the signal handlers, waits for no other file.
import { build } from 'esbuild';

await build({
  entryPoints: ['platform/run.ts'],
  outfile: 'target/entry.mjs',
  bundle: true,
  minify: true,
  keepNames: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  mainFields: ['module', 'main'],
  // Passes its own `require` on, which a bundler cannot resolve.
  external: ['ts-results'],
  // CommonJS libraries load Node.js modules with `require`, which ES modules lack.
  banner: {
    js: "import{createRequire as tsRequire}from'node:module';const require=tsRequire(import.meta.url);",
  },
});
