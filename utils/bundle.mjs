/**
 * Builds the daemon for the users' platform under target/: one file, which starts faster than a thousand, and the code
 * that V8 compiles for it.
 */
import { build } from 'esbuild';
import { spawnSync } from 'node:child_process';
import { copyFileSync, mkdirSync, readFileSync } from 'node:fs';
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

const common = {
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  minifySyntax: true,
  minifyWhitespace: true,
  logLevel: 'warning',
  external: UNUSED,
  plugins: [ownPackages],
};

mkdirSync('target', { recursive: true });
await build({ ...common, entryPoints: ['platform/src/main.ts'], outfile: 'target/daemon.cjs' });
await build({ ...common, entryPoints: ['packages/standins/src/index.ts'], outfile: 'target/standins.cjs' });
copyFileSync('utils/launcher.cjs', 'target/cleatquay.cjs');

/** V8 takes compiled code only under the flags that it was compiled with. */
const [, flags = ''] = /run = "node (.*?) target\//.exec(readFileSync('deploy/system.toml', 'utf8')) ?? [];
const { status } = spawnSync(process.execPath, [...flags.split(' '), 'utils/writeCodeCache.cjs'], {
  stdio: 'inherit',
});
if (status !== 0) throw new Error('The compiled code could not be kept.');
