// Bundles platform/main.ts into one file, so that a start reads one file instead of hundreds.
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
  // Passes its own `require` on, which a bundler cannot resolve.
  external: ['ts-results'],
  // CommonJS libraries load Node.js modules with `require`, which ES modules lack.
  banner: {
    js: "import{createRequire as tsRequire}from'node:module';const require=tsRequire(import.meta.url);",
  },
});
