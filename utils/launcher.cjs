/** Starts the bundled daemon with the V8 code cache of the build, or without it if V8 rejects it. */
const { readFileSync, existsSync } = require('node:fs');
const { createRequire } = require('node:module');
const { join } = require('node:path');
const { Script } = require('node:vm');

const BUNDLE = join(__dirname, 'daemon.cjs');
const CODE_CACHE = join(__dirname, 'daemon.cache');

/** Runs the bundle as a CommonJS module. */
function load() {
  const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(BUNDLE, 'utf8')}\n})`;
  const cachedData = existsSync(CODE_CACHE) ? readFileSync(CODE_CACHE) : undefined;
  const script = new Script(source, { filename: BUNDLE, cachedData });
  const module = { exports: {} };
  script.runInThisContext()(module.exports, createRequire(BUNDLE), module, BUNDLE, __dirname);
  return { script, exports: module.exports };
}

if (require.main === module) void load().exports.runDaemon();
module.exports = { load, CODE_CACHE };
