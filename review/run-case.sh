# Started by the run.sh of a case: chooses the libraries of the build of
# deploy/system.toml or, where that was not run, of the environment by hand.
cd "$CASE/../.." || exit 2
if [ -d target/deps/wigeonpier ]; then
  export PYTHONPATH="$PWD/target/deps"
elif [ -x .venv/bin/python3 ]; then
  export PATH="$PWD/.venv/bin:$PATH"
else
  echo "neither target/deps nor .venv is built" >&2
  exit 2
fi
exec python3 "$CASE/case.py"
