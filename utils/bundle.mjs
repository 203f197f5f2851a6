/** Bundles the daemon for the users' platform into one file under target/: one file starts faster than a thousand. */
import { build } from 'esbuild';
import { resolve } from 'node:path';

/** Libraries that moleculer loads only for transports and formats that this project doesn't use. */
const UNUSED = ['avsc', 'thrift', 'kafka-node'];

/** Takes the project's own packages from their sources, so that nothing is written outside target/. */
const ownPackages = {
  name: 'own-packages',
  setup({ onResolve }) {
    onResolve({ filter: /^@cleatquay\// }, ({ path }) => ({
      path: resolve('packages', path.slice('@cleatquay/'.length), 'src/index.ts'),
    }));
  },
};

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/cleatquay.mjs',
  bundle: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  minifySyntax: true,
  minifyWhitespace: true,
  logLevel: 'warning',
  external: UNUSED,
  plugins: [ownPackages],
  // CommonJS libraries inside an ES module need these.
  banner: {
    js: [
      "import { createRequire as makeRequire } from 'node:module';",
      "import { fileURLToPath as pathOf } from 'node:url';",
      "import { dirname as folderOf } from 'node:path';",
      'const require = makeRequire(import.meta.url);',
      'const __filename = pathOf(import.meta.url);',
      'const __dirname = folderOf(__filename);',
    ].join('\n'),
  },
});
