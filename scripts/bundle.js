// Bundles the entry of the prepared platform into one file: a start reads one file in place of hundreds.
import { build } from 'esbuild';

await build({
  entryPoints: ['platform/main.ts'],
  outfile: 'target/entry.mjs',
  bundle: true,
  minify: true,
  keepNames: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  mainFields: ['module', 'main'],
  // It hands its own `require` on, which a bundle cannot follow.
  external: ['ts-results'],
  // Libraries in CommonJS ask for Node's own modules by `require`.
  banner: {
    js: "import{createRequire as tsRequire}from'node:module';const require=tsRequire(import.meta.url);",
  },
});
