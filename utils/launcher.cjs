/** Starts the bundled daemon with the code that was compiled when it was built; without it, if that doesn't fit. */
const { readFileSync, existsSync } = require('node:fs');
const { createRequire } = require('node:module');
const { join } = require('node:path');
const { Script } = require('node:vm');

const PROGRAM = join(__dirname, 'daemon.cjs');
const CODE_CACHE = join(__dirname, 'daemon.cache');

/** Loads the bundle as a module of its own. */
function load() {
  const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(PROGRAM, 'utf8')}\n})`;
  const cachedData = existsSync(CODE_CACHE) ? readFileSync(CODE_CACHE) : undefined;
  const script = new Script(source, { filename: PROGRAM, cachedData });
  const module = { exports: {} };
  script.runInThisContext()(module.exports, createRequire(PROGRAM), module, PROGRAM, __dirname);
  return { script, exports: module.exports };
}

if (require.main === module) void load().exports.runDaemon();
module.exports = { load, CODE_CACHE };
